"""Tests of the quarantine component."""
