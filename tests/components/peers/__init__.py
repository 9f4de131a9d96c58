"""Tests of the peers component."""
