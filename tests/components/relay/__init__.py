"""Tests of the relay component."""
