"""Close new connections while this instance cannot keep up with them."""

from fescuekeel.components.forward.connection_admission import ConnectionAdmission
from fescuekeel.components.forward.const import CLOSED_REPORT_S
from fescuekeel.components.forward.loop_probe import LoopProbe
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event

__all__ = ["ConnectionGate"]

MS_PER_S = 1000


class ConnectionGate:
    """Measure the event loop with new connections, and report closed ones."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._admission = ConnectionAdmission()
        self._probe = LoopProbe(self._record_lag)
        self._lag_s = 0.0
        self._closed = 0
        self._reported_at = 0.0

    def admits(self) -> bool:
        """Return whether a new connection is served."""
        self._probe.start()
        if not self._admission.is_closed:
            return True
        self._closed += 1
        self._instance.metrics.count("connections.closed_unread")
        self._report()
        return False

    def _record_lag(self, lag_s: float) -> bool:
        self._lag_s = self._instance.loop_lag_s = lag_s
        self._admission.record_lag(lag_s, self._instance.now())
        return self._admission.is_late

    def _report(self) -> None:
        """Write at most one line a second."""
        now = self._instance.now()
        if now - self._reported_at < CLOSED_REPORT_S:
            return
        self._reported_at = now
        log_event(
            "connections_closed",
            connections=self._closed,
            lag_ms=round(self._lag_s * MS_PER_S),
            outcome="closed_unread",
        )
        self._closed = 0
