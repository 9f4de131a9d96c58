"""Work out the letter's size from slopes: ``script/bench capacity``."""

__all__ = ["main"]


def main(arguments: list[str]) -> int:
    """Run the command; the small processes of the parts import no more."""
    from bench.capacity.command import main as run

    return run(arguments)
