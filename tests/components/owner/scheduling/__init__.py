"""Tests of the owner component's scheduling."""
