"""Estimate the cost of a large fleet: ``script/bench capacity``."""

__all__ = ["main"]


def main(arguments: list[str]) -> int:
    """Run the command, imported late to keep the memory probes small."""
    from bench.capacity.command import main as run

    return run(arguments)
