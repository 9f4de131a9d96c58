"""Cost of a tree of many adapters; each size runs in its own process.

``python -m bench.capacity.tree ADAPTERS`` prints a ``TreeCost`` as JSON.
"""

import gc
import sys
import time

import psutil
from pydantic import BaseModel

from bench.capacity.const import MB
from fescuekeel.components.tree.revision import format_manifest, parse_manifest
from fescuekeel.components.tree.snapshot import build_snapshot

__all__ = ["TreeCost", "main"]

ADAPTERS_PER_PART = 10_000
HEAD = b"""[shop shop]
token_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
[pool base]
kind = engine
[service shop/write]
pool = base
"""


class TreeCost(BaseModel):
    """Memory in MB, times in processor seconds, sizes in bytes."""

    adapters: int
    held_mb: float
    peak_mb: float
    build_s: float
    change_s: float
    published_bytes: int
    part_bytes: int
    packed_part_bytes: int


def make_part(first: int, count: int, version: int) -> bytes:
    """Return a roster of adapters with names of typical length."""
    lines = "".join(
        f"    adapter-of-shop-{number:06} {version}\n"
        for number in range(first, first + count)
    )
    return b"[roster shop/write]\nnames =\n" + lines.encode()


def make_tree(adapters: int) -> dict[str, bytes]:
    """Return the parts of a tree."""
    parts = {"head": HEAD}
    for first in range(0, adapters, ADAPTERS_PER_PART):
        count = min(ADAPTERS_PER_PART, adapters - first)
        parts[f"roster-{first // ADAPTERS_PER_PART:03}"] = make_part(first, count, 1)
    return parts


def measure(adapters: int) -> TreeCost:
    """Build a tree, then change one part of it."""
    process = psutil.Process()
    parts = make_tree(adapters)
    gc.collect()
    before = process.memory_info().rss
    started_at = time.process_time()
    manifest = parse_manifest(format_manifest(1, parts).encode()).unwrap()
    by_hash = {manifest.hashes_by_part[name]: body for name, body in parts.items()}
    snapshot = build_snapshot(manifest, by_hash, None).unwrap()
    build_s = time.process_time() - started_at
    gc.collect()
    held = process.memory_info().rss
    changed = dict(parts)
    changed["roster-000"] = make_part(0, min(ADAPTERS_PER_PART, adapters), 2)
    manifest = parse_manifest(format_manifest(2, changed).encode()).unwrap()
    digest = manifest.hashes_by_part["roster-000"]
    started_at = time.process_time()
    later = build_snapshot(manifest, {digest: changed["roster-000"]}, snapshot).unwrap()
    change_s = time.process_time() - started_at
    return TreeCost(
        adapters=adapters,
        held_mb=(held - before) / MB,
        peak_mb=(process.memory_info().rss - before) / MB,
        build_s=build_s,
        change_s=change_s,
        published_bytes=sum(map(len, parts.values())),
        part_bytes=len(changed["roster-000"]),
        packed_part_bytes=len(later.parts_by_hash[digest].packed),
    )


def main() -> None:
    """Measure the size given on the command line."""
    print(measure(int(sys.argv[1])).model_dump_json())


if __name__ == "__main__":
    main()
