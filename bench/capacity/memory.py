"""Resident memory of small processes: ``python -m bench.capacity.memory``."""

import json
import sys

import psutil

from bench.capacity.const import MB

__all__ = ["main"]

LIBRARIES = "tornado.web capnp pydantic"
LIBRARIES += " returns.result msgspec hdrh.histogram orjson xxhash fire"


def main() -> None:
    """Print the memory of each import step in MB."""
    process = psutil.Process()
    steps = {"interpreter": process.memory_info().rss / MB}
    for name in LIBRARIES.split():
        before = process.memory_info().rss
        __import__(name)
        steps[name.split(".")[0]] = (process.memory_info().rss - before) / MB
    steps["libraries"] = process.memory_info().rss / MB
    for name in sys.argv[1].split(","):
        __import__(f"fescuekeel.components.{name}")
    steps["components"] = process.memory_info().rss / MB
    print(json.dumps(steps))


if __name__ == "__main__":
    main()
