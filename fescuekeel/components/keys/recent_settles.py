"""Settlements that may have been lost with the connection to a home; pure."""

from dataclasses import dataclass, field

from fescuekeel.components.keys.const import MAX_RECENT_REQUESTS, RESEND_SETTLE_S
from fescuekeel.messages import KeySettle

__all__ = ["RecentSettles"]


@dataclass(frozen=True, slots=True)
class SentSettle:
    """A settlement that was sent to a home at a monotonic time in seconds."""

    home: str
    sent_at: float
    settle: KeySettle


@dataclass(slots=True)
class RecentSettles:
    """Keep settlements, which nobody answers, to send them again.

    >>> recent = RecentSettles()
    >>> recent.add("i2", KeySettle("k", "r1", "no"), now=1.0)
    >>> [settle.request_id for settle in recent.list_for("i2", now=2.0)]
    ['r1']
    >>> recent.list_for("i3", now=2.0), recent.list_for("i2", now=60.0)
    ([], [])
    """

    _sent_by_request_id: dict[str, list[SentSettle]] = field(default_factory=dict)

    def add(self, home: str, settle: KeySettle, now: float) -> None:
        """Keep a settlement; drop the oldest request beyond the limit."""
        sent = self._sent_by_request_id.setdefault(settle.request_id, [])
        sent.append(SentSettle(home, now, settle))
        if len(self._sent_by_request_id) > MAX_RECENT_REQUESTS:
            del self._sent_by_request_id[next(iter(self._sent_by_request_id))]

    def forget(self, request_id: str) -> None:
        """Drop the settlements of a request that claims its key again.

        Sent once more, they would release the new claim.
        """
        self._sent_by_request_id.pop(request_id, None)

    def list_for(self, home: str, now: float) -> list[KeySettle]:
        """Return the recent settlements that were sent to a home."""
        return [
            item.settle
            for sent in self._sent_by_request_id.values()
            for item in sent
            if item.home == home and now - item.sent_at <= RESEND_SETTLE_S
        ]
