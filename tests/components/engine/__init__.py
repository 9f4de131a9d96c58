"""Tests of the engine component."""
