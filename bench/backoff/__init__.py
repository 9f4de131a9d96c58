"""Ways to handle endpoints that ask for time without requests, compared."""

from bench.backoff.command import main

__all__ = ["main"]
