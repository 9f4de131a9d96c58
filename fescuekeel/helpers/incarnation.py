"""Identity of one run of an endpoint."""

from functools import lru_cache
from typing import NamedTuple, Self

__all__ = ["UNKNOWN_BORN_MS", "Incarnation"]

# Start time of an endpoint whose platform does not report one.
UNKNOWN_BORN_MS = 0
SEPARATOR = "@"
# More than there are endpoints.
SPLIT_CACHE_SIZE = 4096


class Incarnation(NamedTuple):
    """Name of an endpoint and the start time of its process.

    An endpoint may keep its name across a restart but loses its state. State
    per endpoint is therefore keyed by the string of its incarnation.
    ``born_ms`` is the start time in Unix milliseconds, by the endpoint's own
    clock.

    >>> str(Incarnation("e1", 1700000000000)), str(Incarnation("e1"))
    ('e1@1700000000000', 'e1')
    >>> Incarnation.parse("e1@1700000000000")
    Incarnation(name='e1', born_ms=1700000000000)
    >>> Incarnation.parse(str(Incarnation("odd@7")))
    Incarnation(name='odd@7', born_ms=0)
    """

    name: str
    born_ms: int = UNKNOWN_BORN_MS

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse the string form."""
        return cls(*_split(text))

    def __str__(self) -> str:
        """Return the string form, used as a key."""
        if self.born_ms == UNKNOWN_BORN_MS and SEPARATOR not in self.name:
            return self.name
        return f"{self.name}{SEPARATOR}{self.born_ms}"


@lru_cache(SPLIT_CACHE_SIZE)
def _split(text: str) -> tuple[str, int]:
    name, separator, born_ms = text.rpartition(SEPARATOR)
    if not separator:
        return text, UNKNOWN_BORN_MS
    return name, int(born_ms)
