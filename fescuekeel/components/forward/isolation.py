"""Decide whether this instance is cut off from other data centres; pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.forward.const import (
    ISOLATION_MEMORY_S,
    ISOLATION_SILENCE_S,
    MIN_MISSED_CENTRES,
)

__all__ = ["Isolation"]


@dataclass(slots=True)
class Isolation:
    """Remember which data centres were reached lately, and which were not.

    An instance behind a cut still gets callers, and has the endpoints of its
    own data centre only. Instances elsewhere serve those callers better, and
    get them once this one says that it is not ready. One lost data centre
    looks the same from outside as a cut around this one does from within, so
    that two others at least must be out of reach, and none within it.

    >>> isolation = Isolation("dc1")
    >>> for centre in ("dc2", "dc3"):
    ...     isolation.note_missed(centre, now=10.0)
    >>> isolation.is_cut_off(now=10.5)
    True
    >>> isolation.note_reached("dc3", now=10.6)
    >>> isolation.is_cut_off(now=10.7)
    False
    """

    data_centre: str
    _reached: dict[str, float] = field(default_factory=dict)
    _missed: dict[str, float] = field(default_factory=dict)

    def note_reached(self, data_centre: str, now: float) -> None:
        """Note that something came from a data centre."""
        self._reached[data_centre] = max(now, self._reached.get(data_centre, now))

    def note_missed(self, data_centre: str, now: float) -> None:
        """Note that an endpoint of a data centre could not be reached."""
        self._missed[data_centre] = now

    def is_cut_off(self, now: float) -> bool:
        """Tell whether no other data centre is within reach."""
        for centre, reached in self._reached.items():
            if centre != self.data_centre and now - reached <= ISOLATION_SILENCE_S:
                return False
        return len(list(self._list_missed(now))) >= MIN_MISSED_CENTRES

    def _list_missed(self, now: float) -> Iterable[str]:
        for centre, missed in self._missed.items():
            fresh = now - missed <= ISOLATION_MEMORY_S
            silent_since = missed > self._reached.get(centre, float("-inf"))
            if centre != self.data_centre and fresh and silent_since:
                yield centre
