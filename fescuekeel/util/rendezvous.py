"""Rendezvous hashing: everyone ranks the same set of nodes alike."""

from collections.abc import Iterable

import xxhash

__all__ = ["choose", "rank"]


def _score(key: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{node}\0{key}".encode())


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Sort nodes by their score for the key, the key's home first.

    Removing a node moves only the keys whose home it was.

    >>> first, second, third = rank("key", ["a", "b", "c"])
    >>> rank("key", [second, third])[0] == second
    True
    """
    return sorted(nodes, key=lambda node: (_score(key, node), node), reverse=True)


def choose(key: str, nodes: Iterable[str]) -> str | None:
    """Return the home of a key, or ``None`` if there are no nodes.

    >>> choose("key", [])
    >>> choose("key", ["a"])
    'a'
    """
    return max(nodes, key=lambda node: (_score(key, node), node), default=None)
