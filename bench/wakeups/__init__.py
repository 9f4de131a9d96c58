"""Wake-ups and processor time of an idle instance, by callback."""

from bench.wakeups.command import main

__all__ = ["main"]
