"""Measure the overhead of the request path: ``script/bench path``."""

from bench.path.command import main

__all__ = ["main"]
