"""Tests of clients that exhaust a process."""
