"""Fencing tokens that increase without shared state."""

import xxhash

__all__ = ["make_fence"]

# Milliseconds since 2020 stay below 2**39 until 2037, so that a token fits
# into the 53 bits that every JSON parser keeps exact.
EPOCH_MS = 1_577_836_800_000
COUNTER_BITS = 4
IDENTITY_BITS = 10
LOW_BITS = COUNTER_BITS + IDENTITY_BITS


def make_fence(wall_ms: int, counter: int, instance_id: str, highest: int) -> int:
    """Return a fencing token above ``highest``, unique to this instance.

    The high bits are the wall clock in milliseconds, followed by a counter
    and a hash of the instance ID. If the clock lags behind the highest known
    token, the timestamp is raised above it, so that clock skew does not lock
    an owner out.

    >>> first = make_fence(EPOCH_MS + 1000, 0, "i1", 0)
    >>> make_fence(EPOCH_MS + 1001, 0, "i1", first) > first
    True
    >>> make_fence(EPOCH_MS, 0, "i1", first) > first
    True
    >>> make_fence(EPOCH_MS + 1000, 0, "i2", 0) == first
    False
    """
    timestamp_ms = max(wall_ms - EPOCH_MS, (highest >> LOW_BITS) + 1, 1)
    identity = xxhash.xxh3_64_intdigest(instance_id.encode()) % (1 << IDENTITY_BITS)
    low_bits = (counter % (1 << COUNTER_BITS)) << IDENTITY_BITS | identity
    return timestamp_ms << LOW_BITS | low_bits
