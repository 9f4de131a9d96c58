"""Tests of the forward component."""
