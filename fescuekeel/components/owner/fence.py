"""Fencing numbers that grow without shared state."""

import xxhash

__all__ = ["make_fence"]

# Milliseconds since 2020 stay below 2**38 until 2028 and below 2**39 until
# 2037; with the bits below them a number fits into the 53 bits that every
# JSON parser keeps exact.
EPOCH_MS = 1_577_836_800_000
COUNTER_BITS = 4
IDENTITY_BITS = 10
LOW_BITS = COUNTER_BITS + IDENTITY_BITS


def make_fence(wall_ms: int, counter: int, instance_id: str, highest: int) -> int:
    """Return a number above ``highest`` that no other instance makes.

    The milliseconds of the wall clock come first, then a counter, then the
    instance's identity. A clock that lags behind the endpoint's highest
    number is raised above it, so that a wrong clock cannot lock an owner out.

    >>> first = make_fence(EPOCH_MS + 1000, 0, "i1", 0)
    >>> make_fence(EPOCH_MS + 1001, 0, "i1", first) > first
    True
    >>> make_fence(EPOCH_MS, 0, "i1", first) > first
    True
    >>> make_fence(EPOCH_MS + 1000, 0, "i2", 0) == first
    False
    """
    moment = max(wall_ms - EPOCH_MS, (highest >> LOW_BITS) + 1, 1)
    identity = xxhash.xxh3_64_intdigest(instance_id.encode()) % (1 << IDENTITY_BITS)
    low = (counter % (1 << COUNTER_BITS)) << IDENTITY_BITS | identity
    return moment << LOW_BITS | low
