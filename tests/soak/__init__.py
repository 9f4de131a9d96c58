"""Tests of the soak checks, and soak runs."""
