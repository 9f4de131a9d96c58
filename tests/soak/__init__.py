"""Tests of the soak, and its runs."""
