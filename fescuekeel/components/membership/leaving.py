"""The endpoints that are known to be leaving."""

from fescuekeel.components.membership.const import (
    LEAVING_RETENTION_S,
    MAX_LEAVING_ENDPOINTS,
)
from fescuekeel.messages import LiveEntry, LiveList, LiveRole, News, NewsKind

__all__ = ["LeavingEndpoints"]


class LeavingEndpoints:
    """Remember which endpoints are leaving until a higher incarnation starts.

    Guards against new work for an endpoint that is leaving while the live
    list lags, or returns to an older copy after it had shown "leaving".
    """

    def __init__(self) -> None:
        self._incarnations_by_id: dict[str, int] = {}
        self._marked_at_by_id: dict[str, float] = {}

    def mark(self, endpoint: str, incarnation: int, now: float) -> bool:
        """Mark an endpoint as leaving; return whether that is new."""
        if incarnation <= self._incarnations_by_id.get(endpoint, -1):
            return False
        self._incarnations_by_id[endpoint] = incarnation
        self._marked_at_by_id.pop(endpoint, None)
        self._marked_at_by_id[endpoint] = now
        if len(self._marked_at_by_id) > MAX_LEAVING_ENDPOINTS:
            self._forget(next(iter(self._marked_at_by_id)))
        return True

    def select(self, live: LiveList) -> dict[str, LiveEntry]:
        """Return the endpoints of the live list that may get work."""
        return {
            entry.id: entry
            for entry in live.entries_by_id.values()
            if entry.role is LiveRole.ENDPOINT and not self._is_leaving(entry)
        }

    def list_news(self) -> list[News]:
        """Return news of every leaving endpoint."""
        return [
            News(NewsKind.ENDPOINT_LEAVING, endpoint, incarnation)
            for endpoint, incarnation in self._incarnations_by_id.items()
        ]

    def prune(self, live: LiveList, now: float) -> None:
        """Forget endpoints that have long been missing from the live list."""
        for endpoint, marked_at in list(self._marked_at_by_id.items()):
            if (
                now - marked_at > LEAVING_RETENTION_S
                and endpoint not in live.entries_by_id
            ):
                self._forget(endpoint)

    def _is_leaving(self, entry: LiveEntry) -> bool:
        known = self._incarnations_by_id.get(entry.id, -1)
        return entry.leaving or entry.incarnation <= known

    def _forget(self, endpoint: str) -> None:
        del self._marked_at_by_id[endpoint], self._incarnations_by_id[endpoint]
