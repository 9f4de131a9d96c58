"""A randomized soak: real processes, faults from outside, promises checked."""

from bench.soak.command import main

__all__ = ["main"]
