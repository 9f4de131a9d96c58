"""Tests of the allowance component."""
