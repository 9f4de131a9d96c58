"""One start of an endpoint, told apart from its other starts."""

from functools import lru_cache
from typing import NamedTuple, Self

__all__ = ["UNTOLD_BORN_MS", "Incarnation"]

# What counts as the birth of an endpoint whose platform does not tell it.
UNTOLD_BORN_MS = 0
SEPARATOR = "@"
# More than there are endpoints: the same texts are read again at each step.
MAX_SPLIT_TEXTS = 4096


class Incarnation(NamedTuple):
    """Name one start of an endpoint: its name, and when it was born.

    An endpoint that starts again may keep its name, but holds and knows
    nothing of before. All state that is kept by endpoint is kept under the
    text of an incarnation, so that it ends with it. ``born_ms`` is in Unix
    milliseconds, of the endpoint's own clock.

    >>> str(Incarnation("e1", 1700000000000)), str(Incarnation("e1"))
    ('e1@1700000000000', 'e1')
    >>> Incarnation.parse("e1@1700000000000")
    Incarnation(name='e1', born_ms=1700000000000)
    >>> Incarnation.parse(str(Incarnation("odd@7")))
    Incarnation(name='odd@7', born_ms=0)
    """

    name: str
    born_ms: int = UNTOLD_BORN_MS

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the incarnation that a text names."""
        return cls(*_split(text))

    def __str__(self) -> str:
        """Return the text that state is kept under."""
        if self.born_ms == UNTOLD_BORN_MS and SEPARATOR not in self.name:
            return self.name
        return f"{self.name}{SEPARATOR}{self.born_ms}"


@lru_cache(MAX_SPLIT_TEXTS)
def _split(text: str) -> tuple[str, int]:
    name, separator, born_ms = text.rpartition(SEPARATOR)
    if not separator:
        return text, UNTOLD_BORN_MS
    return name, int(born_ms)
