"""Tests of the turns component."""
