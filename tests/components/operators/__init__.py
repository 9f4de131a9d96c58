"""Tests of the operators component."""
