"""What runs on an endpoint on behalf of other owners."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from fescuekeel.components.owner.const import REPORT_LAG_S, RUNNING_GRACE_S
from fescuekeel.helpers.driver import RunningCall
from fescuekeel.messages import AdapterRef, RunningWork

__all__ = ["ForeignWork"]


@dataclass(slots=True)
class Foreign:
    """One such request; times are monotonic seconds."""

    adapter: AdapterRef
    until: float
    known: float


@dataclass(slots=True)
class ForeignWork:
    """Remember requests that may run although this owner does not run them.

    Guards against evicting an adapter that still serves a request of the
    earlier owner, which would show as an answer cut in half. A request is
    kept as long as the endpoint reports it. One that only instances told of
    is kept until reports that must show it by now have not, or until its
    deadline with all grace has passed.

    >>> foreign = ForeignWork()
    >>> foreign.tell([RunningWork("r1", AdapterRef("cups", "1"), 1000)], 0.0)
    >>> foreign.take_report([], (), 4.0)
    >>> list(foreign.adapters_by_id)
    ['r1']
    >>> foreign.take_report([], (), 6.0)
    >>> list(foreign.adapters_by_id)
    []
    """

    _work_by_id: dict[str, Foreign] = field(default_factory=dict)

    @property
    def adapters_by_id(self) -> dict[str, AdapterRef]:
        """Return the adapter of each request."""
        return {id: work.adapter for id, work in self._work_by_id.items()}

    def tell(self, work: Iterable[RunningWork], now: float) -> None:
        """Take in what an instance knows."""
        for item in work:
            until = now + item.remaining_ms / 1000 + RUNNING_GRACE_S
            known = self._work_by_id.get(item.request_id)
            if known is not None:
                until = max(until, known.until)
            self._work_by_id[item.request_id] = Foreign(item.adapter, until, now)

    def take_report(
        self, running: Iterable[RunningCall], own_ids: Collection[str], now: float
    ) -> None:
        """Take in the endpoint's report, which may be old."""
        listed = set()
        for call in running:
            if call.request_id in own_ids:
                continue
            listed.add(call.request_id)
            known = self._work_by_id.get(call.request_id)
            until = now + REPORT_LAG_S if known is None else known.until
            self._work_by_id[call.request_id] = Foreign(call.adapter, until, now)
        for request_id, work in list(self._work_by_id.items()):
            if request_id in listed:
                continue
            if request_id in own_ids or now - work.known > REPORT_LAG_S:
                del self._work_by_id[request_id]

    def pass_time(self, now: float) -> None:
        """Forget what has passed its deadline and was not reported since."""
        for request_id, work in list(self._work_by_id.items()):
            if now > work.until and now - work.known > REPORT_LAG_S:
                del self._work_by_id[request_id]

    def list_work(self, now: float) -> tuple[RunningWork, ...]:
        """Return all, to pass them on."""
        return tuple(
            RunningWork(id, work.adapter, max(0, int((work.until - now) * 1000)))
            for id, work in self._work_by_id.items()
        )

    def forget(self, request_id: str) -> None:
        """Forget a request that has certainly ended."""
        self._work_by_id.pop(request_id, None)

    def clear(self) -> None:
        """Forget all, as the endpoint has lost it."""
        self._work_by_id.clear()
