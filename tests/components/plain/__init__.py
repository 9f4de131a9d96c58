"""Tests of the plain component."""
