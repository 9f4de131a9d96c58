"""Ways to remember which software version began a stream, compared."""

from bench.origins.command import main

__all__ = ["main"]
