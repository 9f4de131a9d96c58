"""Tests of the livelist component."""
