"""One load generator as a process: ``python -m bench.path.generate``.

It reads a ``LoadOrder`` as JSON from standard input and writes a
``LoadResult`` as JSON to standard output.
"""

import asyncio
import sys

from bench.path.load import Generator, LoadOrder

__all__ = ["main"]


def main() -> None:
    """Run the order of standard input."""
    order = LoadOrder.model_validate_json(sys.stdin.read())
    result = asyncio.run(Generator(order).run())
    sys.stdout.write(result.model_dump_json())


if __name__ == "__main__":
    main()
