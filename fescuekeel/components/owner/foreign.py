"""Requests that run on an endpoint on behalf of other owners."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from fescuekeel.components.owner.const import REPORT_LAG_S, RUNNING_GRACE_S
from fescuekeel.helpers.driver import RunningCall
from fescuekeel.messages import AdapterRef, RunningWork

__all__ = ["ForeignWork"]


@dataclass(slots=True)
class ForeignRequest:
    """One request of another owner; times are monotonic seconds."""

    adapter: AdapterRef
    expires_at: float
    seen_at: float


@dataclass(slots=True)
class ForeignWork:
    """Track requests of other owners that may run on this endpoint.

    Prevents the eviction of an adapter that still serves a previous owner's
    request, which would truncate its answer. A request is kept while the
    endpoint reports it. One known only from other instances is kept until
    reports should have shown it, or its deadline and grace period have passed.

    >>> foreign = ForeignWork()
    >>> foreign.add([RunningWork("r1", AdapterRef("cups", "1"), 1000)], 0.0)
    >>> foreign.update_from_report([], (), 4.0)
    >>> list(foreign.adapters_by_id)
    ['r1']
    >>> foreign.update_from_report([], (), 6.0)
    >>> list(foreign.adapters_by_id)
    []
    """

    _work_by_id: dict[str, ForeignRequest] = field(default_factory=dict)

    @property
    def adapters_by_id(self) -> dict[str, AdapterRef]:
        """Return the adapter of each request."""
        return {id: work.adapter for id, work in self._work_by_id.items()}

    def add(self, work: Iterable[RunningWork], now: float) -> None:
        """Add requests that another instance says may be running."""
        for item in work:
            expires_at = now + item.remaining_ms / 1000 + RUNNING_GRACE_S
            previous = self._work_by_id.get(item.request_id)
            if previous is not None:
                expires_at = max(expires_at, previous.expires_at)
            self._work_by_id[item.request_id] = ForeignRequest(
                item.adapter, expires_at, now
            )

    def update_from_report(
        self,
        running: Iterable[RunningCall],
        own_ids: Collection[str],
        now: float,
        ended_ids: Collection[str] = (),
    ) -> None:
        """Update from the endpoint's report, which may lag.

        Requests in ``ended_ids`` have ended here, and another attempt of them
        may run: they are kept until a report no longer lists them.
        """
        listed = set()
        for call in running:
            if call.request_id in own_ids:
                continue
            listed.add(call.request_id)
            previous = self._work_by_id.get(call.request_id)
            expires_at = now + REPORT_LAG_S if previous is None else previous.expires_at
            seen_at = -math.inf if call.request_id in ended_ids else now
            self._work_by_id[call.request_id] = ForeignRequest(
                call.adapter, expires_at, seen_at
            )
        for request_id, work in list(self._work_by_id.items()):
            if request_id in listed:
                continue
            if request_id in own_ids or now - work.seen_at > REPORT_LAG_S:
                del self._work_by_id[request_id]

    def expire(self, now: float) -> None:
        """Remove requests past their deadline that are no longer reported."""
        for request_id, work in list(self._work_by_id.items()):
            if now > work.expires_at and now - work.seen_at > REPORT_LAG_S:
                del self._work_by_id[request_id]

    def list_work(self, now: float) -> tuple[RunningWork, ...]:
        """Return all requests, to send them to another owner."""
        return tuple(
            RunningWork(id, work.adapter, max(0, int((work.expires_at - now) * 1000)))
            for id, work in self._work_by_id.items()
        )

    def forget(self, request_id: str) -> None:
        """Remove a request that has ended."""
        self._work_by_id.pop(request_id, None)

    def clear(self) -> None:
        """Remove all requests after a restart of the endpoint."""
        self._work_by_id.clear()
