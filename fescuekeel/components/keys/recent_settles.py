"""Settlements that may have been lost with the connection to a home; pure."""

from collections import deque
from dataclasses import dataclass, field

from fescuekeel.components.keys.const import MAX_RECENT_SETTLES, RESEND_SETTLE_S
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

    _sent: deque[SentSettle] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_SETTLES)
    )

    def add(self, home: str, settle: KeySettle, now: float) -> None:
        """Keep a settlement; the oldest is dropped beyond the limit."""
        self._sent.append(SentSettle(home, now, settle))

    def forget(self, request_id: str) -> None:
        """Drop the settlements of a request that claims its key again.

        Sent once more, they would release the new claim.
        """
        kept = [item for item in self._sent if item.settle.request_id != request_id]
        if len(kept) < len(self._sent):
            self._sent = deque(kept, maxlen=MAX_RECENT_SETTLES)

    def list_for(self, home: str, now: float) -> list[KeySettle]:
        """Return the recent settlements that were sent to a home."""
        while self._sent and now - self._sent[0].sent_at > RESEND_SETTLE_S:
            self._sent.popleft()
        return [item.settle for item in self._sent if item.home == home]
