"""Track endpoints that asked this instance to send nothing for a time; pure.

A back-off is one of an endpoint's incarnation and this instance. After its end
requests return step by step: the first after a random delay, so that the
instances do not return together, and more with each one that is not rejected.
"""

from dataclasses import dataclass, field

from fescuekeel.components.endpoints.const import (
    FULL_WINDOW,
    MAX_BACK_OFFS,
    MAX_RETURN_DELAY_S,
    RETURN_DELAY_SHARE,
    RETURN_S,
)

__all__ = ["BackOffs"]


@dataclass(slots=True)
class BackOff:
    """A back-off, and the return after it.

    It lasts until ``until``, and requests return from ``returns_at`` on. Then
    up to ``window`` of them may be without an answer at a time.
    """

    until: float
    returns_at: float
    window: int = 1
    unanswered: int = 0


@dataclass(slots=True)
class BackOffs:
    """The endpoints that asked this instance to back off, by incarnation.

    ``delay_share``, from 0 to 1, is random; it delays the first request.

    >>> back_offs = BackOffs()
    >>> back_offs.record_rejected("e1", 3.0, now=1.0, delay_share=0.0)
    True
    >>> back_offs.find_until("e1", now=3.5)
    4.0
    >>> back_offs.find_until("e2", now=3.5) is None
    True
    >>> back_offs.find_until("e1", now=4.0) is None
    True
    """

    _back_offs_by_id: dict[str, BackOff] = field(default_factory=dict)

    def __bool__(self) -> bool:
        """Return whether there are any."""
        return bool(self._back_offs_by_id)

    def record_rejected(
        self, endpoint: str, retry_after_s: float, now: float, delay_share: float
    ) -> bool:
        """Record that an endpoint wants nothing for a time.

        Of several such answers the one that lasts longest holds. Returns
        whether this one does.
        """
        until = now + retry_after_s
        known = self._back_offs_by_id.get(endpoint)
        if known is not None and known.until >= until:
            return False
        longest_s = min(MAX_RETURN_DELAY_S, RETURN_DELAY_SHARE * retry_after_s)
        returns_at = until + delay_share * longest_s
        if known is None and len(self._back_offs_by_id) >= MAX_BACK_OFFS:
            del self._back_offs_by_id[next(iter(self._back_offs_by_id))]
        self._back_offs_by_id[endpoint] = BackOff(until, returns_at)
        return True

    def find_until(self, endpoint: str, now: float) -> float | None:
        """Return until when to send nothing, ``None`` if requests may go."""
        known = self._back_offs_by_id.get(endpoint)
        if known is None or self._has_ended(known, now):
            return None
        return known.returns_at if now < known.returns_at else None

    def is_window_full(self, endpoint: str, now: float) -> bool:
        """Return whether a returning endpoint has all it may have for now."""
        known = self._back_offs_by_id.get(endpoint)
        if known is None or self._has_ended(known, now):
            return False
        return known.unanswered >= known.window

    def is_returning(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint gets its first requests again."""
        known = self._back_offs_by_id.get(endpoint)
        if known is None or now < known.returns_at:
            return False
        return not self._has_ended(known, now)

    def record_sent(self, endpoint: str, now: float) -> bool:
        """Record a request; return whether it is part of a return."""
        if not self.is_returning(endpoint, now):
            return False
        self._back_offs_by_id[endpoint].unanswered += 1
        return True

    def record_ended(self, endpoint: str, answered: bool) -> None:
        """Record that a request of a return has an answer, or none.

        With each answer one more request may be without one, so that their
        number doubles in the time of one answer.
        """
        known = self._back_offs_by_id.get(endpoint)
        if known is None:
            return
        known.unanswered = max(0, known.unanswered - 1)
        if answered:
            known.window += 1

    def list_until(self, now: float) -> dict[str, float]:
        """Return the back-offs in force, and until when they are."""
        return {
            id: back_off.until
            for id, back_off in self._back_offs_by_id.items()
            if now < back_off.until
        }

    def expire(self, now: float) -> None:
        """Forget the back-offs after which requests have returned."""
        for id, back_off in list(self._back_offs_by_id.items()):
            if self._has_ended(back_off, now):
                del self._back_offs_by_id[id]

    @staticmethod
    def _has_ended(back_off: BackOff, now: float) -> bool:
        if now < back_off.returns_at:
            return False
        is_whole = back_off.window >= FULL_WINDOW
        return is_whole or now >= back_off.returns_at + RETURN_S
