"""Shared parts of the review's scripts."""
