"""Identify requests by what an endpoint is asked to run.

A caller that repeats a request does so under a new id, at any instance. Its
fingerprint is the same everywhere, and is short enough to be sent to peers.
"""

from collections.abc import Iterable

import xxhash

from fescuekeel.messages import Submit

__all__ = ["compute_fingerprint", "fingerprint_parts", "fingerprint_submit"]


def compute_fingerprint(body: bytes, *parts: str) -> str:
    """Return the fingerprint of a body and of further parts of a request.

    Each part is hashed with its length, so that text cannot move from one part
    to the next unnoticed.

    >>> first = compute_fingerprint(b"x", "ab", "c")
    >>> first == compute_fingerprint(b"x", "a", "bc")
    False
    >>> len(compute_fingerprint(b""))
    32
    """
    hasher = xxhash.xxh3_128(body)
    for part in parts:
        encoded = part.encode("utf-8", "surrogateescape")
        hasher.update(b"%d:" % len(encoded))
        hasher.update(encoded)
    digest: str = hasher.hexdigest()
    return digest


def fingerprint_parts(parts: Iterable[str], owner: str) -> tuple[str, ...]:
    """Return the key of an owner, and those of the parts of a prompt.

    Callers name these parts. ``owner`` is the client account, or the host
    without one, so that no caller can have another's parts blamed. Without
    parts there is no key.

    >>> owner, first = fingerprint_parts(["p"], "account a")
    >>> first == fingerprint_parts(["p"], "account b")[1]
    False
    """
    keys = [compute_fingerprint(b"part", owner, part) for part in parts]
    return (compute_fingerprint(b"owner", owner), *keys) if keys else ()


def fingerprint_submit(submit: Submit) -> str:
    """Return the fingerprint of a request that is submitted to an owner."""
    return compute_fingerprint(
        submit.body,
        submit.shop,
        submit.service,
        submit.adapter.name,
        submit.adapter.version,
        submit.method,
        submit.path,
        submit.content_type,
    )
