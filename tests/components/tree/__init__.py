"""Tests of the tree component."""
