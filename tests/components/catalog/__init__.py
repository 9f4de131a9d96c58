"""Tests of the component."""
