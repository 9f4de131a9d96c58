"""Which endpoints are leaving."""

from fescuekeel.components.membership.const import LEAVING_KEPT_S, MAX_LEAVING
from fescuekeel.messages import LiveEntry, LiveList, LiveRole, News, NewsKind

__all__ = ["LeavingEndpoints"]


class LeavingEndpoints:
    """Remember which endpoints are leaving until they come back anew.

    Guards against new work for an endpoint that is leaving: it shows when the
    live list lags, or goes back to an older copy after it had said "leaving".
    What has been heard once holds until the list shows a higher incarnation.
    """

    def __init__(self) -> None:
        self._incarnations_by_id: dict[str, int] = {}
        self._noted_by_id: dict[str, float] = {}

    def note(self, endpoint: str, incarnation: int, now: float) -> bool:
        """Note that an endpoint is leaving; return whether that is new."""
        if incarnation <= self._incarnations_by_id.get(endpoint, -1):
            return False
        self._incarnations_by_id[endpoint] = incarnation
        self._noted_by_id.pop(endpoint, None)
        self._noted_by_id[endpoint] = now
        if len(self._noted_by_id) > MAX_LEAVING:
            self._forget(next(iter(self._noted_by_id)))
        return True

    def select(self, live: LiveList) -> dict[str, LiveEntry]:
        """Return the endpoints that may get work."""
        return {
            entry.id: entry
            for entry in live.entries_by_id.values()
            if entry.role is LiveRole.ENDPOINT and not self._is_leaving(entry)
        }

    def list_news(self) -> list[News]:
        """Return all that is known as news."""
        return [
            News(NewsKind.ENDPOINT_LEAVING, endpoint, incarnation)
            for endpoint, incarnation in self._incarnations_by_id.items()
        ]

    def prune(self, live: LiveList, now: float) -> None:
        """Forget endpoints that have long gone from the list."""
        for endpoint, noted in list(self._noted_by_id.items()):
            if now - noted > LEAVING_KEPT_S and endpoint not in live.entries_by_id:
                self._forget(endpoint)

    def _is_leaving(self, entry: LiveEntry) -> bool:
        known = self._incarnations_by_id.get(entry.id, -1)
        return entry.leaving or entry.incarnation <= known

    def _forget(self, endpoint: str) -> None:
        del self._noted_by_id[endpoint], self._incarnations_by_id[endpoint]
