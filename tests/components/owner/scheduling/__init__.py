"""Tests of the owner component."""
