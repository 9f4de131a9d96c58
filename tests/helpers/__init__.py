"""Tests of the helpers."""
