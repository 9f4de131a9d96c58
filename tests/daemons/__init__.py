"""Tests of daemons as separate processes."""
