"""Decide whether an instance takes new connections; pure.

New connections cost more than requests on open ones. An instance that gets
more than it can serve would work on requests whose callers have left. It
closes new connections unread instead, so that their callers go elsewhere, and
serves what it has read.
"""

from dataclasses import dataclass

from fescuekeel.components.forward.const import (
    CLOSED_LATELY_S,
    LATE_FOR_S,
    MAX_LOOP_LAG_S,
    RESUME_LOOP_LAG_S,
)

__all__ = ["ConnectionAdmission"]


@dataclass(slots=True)
class ConnectionAdmission:
    """Track how long one iteration of the event loop takes.

    It takes longer the more requests are in progress. Connections are closed
    once iterations have been long for a while, so that a single one, such as
    that of a large configuration, closes none, and until one is short again.
    Shortly afterwards a single long one suffices.

    >>> admission = ConnectionAdmission()
    >>> [admission.record_lag(0.1, now=now) for now in (10.0, 10.1)]
    [False, True]
    >>> admission.record_lag(0.001, now=10.3)
    False
    """

    is_closed: bool = False
    _late_since: float | None = None
    _closed_at: float = float("-inf")

    def record_lag(self, lag_s: float, now: float) -> bool:
        """Record an iteration; return whether connections are closed."""
        limit_s = RESUME_LOOP_LAG_S if self.is_closed else MAX_LOOP_LAG_S
        if lag_s < limit_s:
            self._late_since = None
            self.is_closed = False
            return False
        if self._late_since is None:
            self._late_since = now - lag_s
        was_closed_lately = now - self._closed_at < CLOSED_LATELY_S
        if was_closed_lately or now - self._late_since >= LATE_FOR_S:
            self.is_closed = True
            self._closed_at = now
        return self.is_closed

    @property
    def is_late(self) -> bool:
        """Return whether the next iteration has to be measured as well."""
        return self._late_since is not None
