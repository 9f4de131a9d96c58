"""Measure what the path adds to a request: ``script/bench path``."""

from bench.path.command import main

__all__ = ["main"]
