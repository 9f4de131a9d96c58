"""Tests of the components."""
