"""What this process holds of its machine, read from the operating system."""

import os
import resource
from pathlib import Path

__all__ = [
    "count_descriptors",
    "read_descriptor_limit",
    "read_machine_memory_bytes",
    "read_resident_bytes",
]

STATM = Path("/proc/self/statm")
DESCRIPTORS = Path("/proc/self/fd")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_resident_bytes() -> float:
    """Return the resident memory; raises ``OSError`` where it is unknown."""
    return float(STATM.read_text("ascii").split()[1]) * PAGE_BYTES


def count_descriptors() -> int:
    """Return the open descriptors; raises ``OSError`` where unknown."""
    return len(os.listdir(DESCRIPTORS))


def read_machine_memory_bytes() -> int:
    """Return the memory of the machine."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES


def read_descriptor_limit() -> int:
    """Return how many descriptors this process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limit
