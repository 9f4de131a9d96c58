"""Randomized soak test with fault injection on real daemons."""

from bench.soak.command import main

__all__ = ["main"]
