"""Compact lists of adapters and their versions."""

import re
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator

from fescuekeel.components.tree.const import NAME_PATTERN, VERSION_PATTERN

__all__ = ["Roster", "RosterError", "pack_roster"]

LINE = re.compile(rf"({NAME_PATTERN})((?:[ \t]+{VERSION_PATTERN})+)")


class RosterError(ValueError):
    """A line of a roster is invalid."""


class Roster:
    """Hold sorted lines ``name version [older...]`` in one block of bytes.

    Saves memory: an adapter takes its text and four bytes. Lookup is by
    bisection.

    >>> roster = pack_roster(["b 2 1", "a 1.10"])
    >>> roster.find("a"), roster.find("b"), roster.find("c")
    (('1.10',), ('2', '1'), None)
    """

    __slots__ = ("_offsets", "_text")

    def __init__(self, text: bytes, offsets: "array[int]") -> None:
        self._text = text
        self._offsets = offsets

    def __len__(self) -> int:
        return len(self._offsets)

    def __iter__(self) -> Iterator[str]:
        return (self._get_name(index).decode() for index in range(len(self)))

    def _get_name(self, index: int) -> bytes:
        start = self._offsets[index]
        return self._text[start : self._text.index(b" ", start)]

    def find(self, name: str) -> tuple[str, ...] | None:
        """Return the versions of an adapter, the current one first."""
        wanted = name.encode()
        index = bisect_left(range(len(self)), wanted, key=self._get_name)
        if index == len(self) or self._get_name(index) != wanted:
            return None
        start = self._offsets[index]
        line = self._text[start : self._text.index(b"\n", start)]
        return tuple(line.decode().split(" ")[1:])


def _normalise(line: str) -> str:
    match = LINE.fullmatch(line)
    if match is None:
        raise RosterError(f"{line[:80]!r} does not match 'adapter version [older...]'")
    versions = match[2].split()
    if len(set(versions)) != len(versions):
        raise RosterError(f"{line[:80]!r} repeats a version")
    return " ".join([match[1], *versions])


def pack_roster(lines: Iterable[str]) -> Roster:
    """Sort and pack lines; raises ``RosterError``."""
    rows = [_normalise(line).encode() for line in lines]
    rows.sort(key=lambda row: row.split(b" ", 1)[0])
    offsets = array("I")
    start = 0
    last = b""
    for row in rows:
        name = row.split(b" ", 1)[0]
        if name == last:
            raise RosterError(f"adapter {name.decode()!r} is listed twice")
        last = name
        offsets.append(start)
        start += len(row) + 1
    return Roster(b"".join(row + b"\n" for row in rows), offsets)
