"""The log lines of the phases of a shutdown."""

from enum import StrEnum

from fescuekeel.components.forward.open_requests import OpenRequests
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event

__all__ = ["ShutdownPhase", "ShutdownRecord"]


class ShutdownPhase(StrEnum):
    """A part of the shutdown of the callers' port."""

    ACCEPT = "accept"
    DRAIN = "drain"
    CANCEL = "cancel"
    CLOSE = "close"


class ShutdownRecord:
    """Log the begin and the end of a shutdown and the time of its phases."""

    def __init__(self, instance: Instance, requests: OpenRequests) -> None:
        self._instance = instance
        self._requests = requests
        self._open = len(requests.by_task)
        self._accepted_before = requests.accepted
        self._cut_before = requests.cut
        self._phase_began_at = instance.now()
        self._ms_by_phase = dict.fromkeys(ShutdownPhase, 0)
        log_event(
            "shutdown_began",
            requests=self._open,
            grace_ms=round(instance.settings.instance.shutdown_s * 1000),
            since_signal_ms=round(instance.since_stop_requested_s * 1000),
            lag_ms=round(instance.loop_lag_s * 1000),
        )

    def end_phase(self, phase: ShutdownPhase) -> None:
        """Record the end of a phase, with which the next one begins."""
        now = self._instance.now()
        self._ms_by_phase[phase] = round((now - self._phase_began_at) * 1000)
        self._phase_began_at = now

    def end(self) -> None:
        """Log the end of the shutdown."""
        cut = self._requests.cut - self._cut_before
        log_event(
            "shutdown_ended",
            requests=self._open,
            accepted=self._requests.accepted - self._accepted_before,
            cut=cut,
            accept_ms=self._ms_by_phase[ShutdownPhase.ACCEPT],
            drain_ms=self._ms_by_phase[ShutdownPhase.DRAIN],
            cancel_ms=self._ms_by_phase[ShutdownPhase.CANCEL],
            close_ms=self._ms_by_phase[ShutdownPhase.CLOSE],
            since_signal_ms=round(self._instance.since_stop_requested_s * 1000),
            outcome="cut" if cut else "whole",
        )
