"""Detect that this instance is cut off from other data centres; pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.forward.const import (
    CONNECT_FAILURE_TTL_S,
    ISOLATION_TIMEOUT_S,
    MIN_UNREACHABLE_CENTRES,
)

__all__ = ["Isolation"]


@dataclass(slots=True)
class Isolation:
    """Track contacts and failed connects by data centre.

    A partitioned instance can only use the endpoints of its own data centre;
    when it reports not ready, its callers go to instances elsewhere. With two
    data centres, a partition looks the same as the loss of the other one, so
    at least two others must be unreachable, and none reachable.

    >>> isolation = Isolation("dc1")
    >>> for centre in ("dc2", "dc3"):
    ...     isolation.record_connect_failed(centre, now=10.0)
    >>> isolation.is_cut_off(now=10.5)
    True
    >>> isolation.record_reached("dc3", now=10.6)
    >>> isolation.is_cut_off(now=10.7)
    False
    """

    data_centre: str
    _last_contact_by_centre: dict[str, float] = field(default_factory=dict)
    _last_failure_by_centre: dict[str, float] = field(default_factory=dict)

    def record_reached(self, data_centre: str, now: float) -> None:
        """Record contact with a data centre."""
        self._last_contact_by_centre[data_centre] = max(
            now, self._last_contact_by_centre.get(data_centre, now)
        )

    def record_connect_failed(self, data_centre: str, now: float) -> None:
        """Record a failed connect to an endpoint of a data centre."""
        self._last_failure_by_centre[data_centre] = now

    def is_cut_off(self, now: float) -> bool:
        """Return whether no other data centre is reachable."""
        for centre, contact in self._last_contact_by_centre.items():
            if centre != self.data_centre and now - contact <= ISOLATION_TIMEOUT_S:
                return False
        return len(list(self._list_unreachable(now))) >= MIN_UNREACHABLE_CENTRES

    def _list_unreachable(self, now: float) -> Iterable[str]:
        for centre, failed in self._last_failure_by_centre.items():
            recent = now - failed <= CONNECT_FAILURE_TTL_S
            no_contact_since = failed > self._last_contact_by_centre.get(
                centre, float("-inf")
            )
            if centre != self.data_centre and recent and no_contact_since:
                yield centre
