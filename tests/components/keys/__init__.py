"""Tests of the keys component."""
