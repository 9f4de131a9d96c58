"""Tests of the origins component."""
