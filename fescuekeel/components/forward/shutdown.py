"""Decide which requests are accepted during a shutdown; pure."""

from dataclasses import dataclass

from fescuekeel.components.forward.const import DRAIN_SERVE_S, MAX_SIGNAL_DELAY_S
from fescuekeel.helpers.published import Route, RouteKind

__all__ = ["Shutdown"]


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The start of a shutdown and the time at which the process must exit.

    >>> Shutdown(started_at=10.0, ends_at=17.2).left_s(12.2)
    5.0
    """

    started_at: float
    ends_at: float

    @classmethod
    def begin(cls, now: float, shutdown_s: float, loop_lag_s: float) -> "Shutdown":
        """Return the shutdown of an instance that handles its signal now.

        The signal waited for an iteration of the event loop, and others
        measure from the signal.

        >>> Shutdown.begin(10.0, 7.0, loop_lag_s=0.25).ends_at
        16.75
        """
        started_at = now - min(loop_lag_s, MAX_SIGNAL_DELAY_S)
        return cls(started_at, started_at + shutdown_s)

    def left_s(self, now: float) -> float:
        """Return the remaining seconds, at least zero."""
        return max(0.0, self.ends_at - now)

    @property
    def accepts_all_until(self) -> float:
        """Return the time until which all requests are accepted.

        At most half of the shutdown, so that a stream that starts late is not
        cut at the exit of the process.
        """
        half_s = (self.ends_at - self.started_at) / 2
        return self.started_at + min(DRAIN_SERVE_S, half_s)

    def close(self, now: float) -> "Shutdown":
        """Return this shutdown with no time left.

        Guards against accepting a request while connections are closed: an
        endpoint would run it, and its caller would get no answer.
        """
        return Shutdown(self.started_at, now)

    def may_accept(self, route: Route, now: float) -> bool:
        """Return whether a request is accepted.

        At first all are, since the platform sends requests until its probes
        have failed. Later ones come on keep-alive connections and are accepted
        if they end in time; a stream may not.
        """
        return self.may_send(route.kind, now + route.timeout_s, now)

    def may_send(self, kind: RouteKind, deadline: float, now: float) -> bool:
        """Return whether a request that was not sent yet may be sent.

        It may have waited for weights or admission since it was accepted.
        """
        if now < self.accepts_all_until:
            return True
        if kind is RouteKind.STREAM:
            return False
        return deadline < self.ends_at
