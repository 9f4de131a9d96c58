"""Tests of the benches."""
