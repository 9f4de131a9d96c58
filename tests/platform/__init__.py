"""Tests of the dialect of the users' platform."""
