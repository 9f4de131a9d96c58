"""Track endpoints that have said in an answer that they leave; pure.

An endpoint is known by its incarnation, so that neither a later start nor
another endpoint at its address inherits the state. It is never taken back: an
older entry of the store may still call the endpoint ready.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from fescuekeel.components.endpoints.const import (
    LEAVING_REFRESH_S,
    LEAVING_TTL_S,
    MAX_LEAVING,
)

__all__ = ["LeavingEndpoints"]


@dataclass(slots=True)
class Departure:
    """When an endpoint that leaves was last listed, and last announced."""

    listed_at: float
    announced_at: float


@dataclass(slots=True)
class LeavingEndpoints:
    """The endpoints that leave, as any instance has heard from them.

    >>> leaving = LeavingEndpoints()
    >>> leaving.record("e1@1700", now=1.0), leaving.record("e1@1700", now=2.0)
    (True, False)
    >>> leaving.list_ids(), "e1@1800" in leaving.list_ids()
    (frozenset({'e1@1700'}), False)
    """

    _departures_by_id: dict[str, Departure] = field(default_factory=dict)

    def record(self, endpoint: str, now: float) -> bool:
        """Record that an endpoint leaves; return whether that is new."""
        known = self._departures_by_id.get(endpoint)
        if known is not None:
            known.announced_at = now
            return False
        if len(self._departures_by_id) >= MAX_LEAVING:
            del self._departures_by_id[next(iter(self._departures_by_id))]
        self._departures_by_id[endpoint] = Departure(now, now)
        return True

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint leaves."""
        return endpoint in self._departures_by_id

    def list_ids(self) -> frozenset[str]:
        """Return the ids of the endpoints that leave."""
        return frozenset(self._departures_by_id)

    def expire(self, listed: Collection[str], now: float) -> None:
        """Forget the endpoints that are no longer listed, after a time."""
        for id, departure in list(self._departures_by_id.items()):
            if id in listed:
                departure.listed_at = now
            elif now - departure.listed_at >= LEAVING_TTL_S:
                del self._departures_by_id[id]

    def list_due(self, listed: Collection[str], now: float) -> list[str]:
        """Return the listed endpoints that are to be announced again."""
        return [
            id
            for id, departure in self._departures_by_id.items()
            if id in listed and now - departure.announced_at >= LEAVING_REFRESH_S
        ]
