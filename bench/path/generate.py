"""Run one load generator: ``python -m bench.path.generate``.

It reads a ``LoadSpec`` as JSON from standard input and writes a
``LoadResult`` as JSON to standard output.
"""

import asyncio
import sys

from bench.path.load import LoadGenerator, LoadSpec

__all__ = ["main"]


def main() -> None:
    """Run the load given on standard input."""
    spec = LoadSpec.model_validate_json(sys.stdin.read())
    result = asyncio.run(LoadGenerator(spec).run())
    sys.stdout.write(result.model_dump_json())


if __name__ == "__main__":
    main()
