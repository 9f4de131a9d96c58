"""Tests of the gateway component."""
