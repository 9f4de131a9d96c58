"""Decide which requests still begin while this instance shuts down; pure."""

from dataclasses import dataclass

from fescuekeel.components.forward.const import DRAIN_SERVE_S
from fescuekeel.helpers.published import Route, RouteKind

__all__ = ["Shutdown"]


@dataclass(frozen=True, slots=True)
class Shutdown:
    """Hold when a shutdown began and when the process must be gone.

    >>> Shutdown(began=10.0, ends=17.2).left_s(12.2)
    5.0
    """

    began: float
    ends: float

    def left_s(self, now: float) -> float:
        """Return the seconds that are left, none below zero."""
        return max(0.0, self.ends - now)

    @property
    def serves_until(self) -> float:
        """Return until when all requests are served.

        Guards against a stream that begins in the last moment of a short
        shutdown: it showed as an answer that was cut when the process left.
        """
        half_s = (self.ends - self.began) / 2
        return self.began + min(DRAIN_SERVE_S, half_s)

    def close(self, now: float) -> "Shutdown":
        """Return the same shutdown with no time left.

        Guards against a request that comes while the process is closing its
        connections, since nothing was under way any more: it showed as one
        that an endpoint ran and whose caller got no answer.
        """
        return Shutdown(self.began, now)

    def may_begin(self, route: Route, now: float) -> bool:
        """Tell whether a request will be over before the process is gone.

        At first all are served, since the platform goes on sending them until
        its probes have failed. Callers on kept connections come even later: a
        stream may outlast the shutdown then, a short request still fits.
        """
        if now <= self.serves_until:
            return True
        if route.kind is RouteKind.STREAM:
            return False
        return route.timeout_s < self.left_s(now)
