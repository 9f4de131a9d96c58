"""Tests of the utilities."""
