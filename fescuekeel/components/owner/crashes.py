"""Report the requests that ran on an endpoint when it crashed."""

from typing import Protocol, cast

from fescuekeel.components.owner.const import CRASH_CHECK_TIMEOUT_S, RECENTLY_ALIVE_S
from fescuekeel.components.owner.model import AcceptedRequest
from fescuekeel.components.quarantine import (
    DOMAIN as QUARANTINE_DOMAIN,
    Quarantine,
    Verdict,
)
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.driver import Driver, Outcome
from fescuekeel.helpers.fingerprint import fingerprint_submit
from fescuekeel.helpers.http_connection import NotConnectedError, connect
from fescuekeel.helpers.liveness import (
    Liveness,
    classify_failed_connect,
    gather_evidence,
)
from fescuekeel.helpers.logging import log_event
from fescuekeel.messages import Submit

__all__ = ["CrashHost", "CrashReporter"]


class CrashHost(Protocol):
    """The parts of the endpoint's owner that ``CrashReporter`` uses.

    ``boot_id`` is the endpoint's last reported start, empty if unknown,
    ``reported_at`` when its last report was asked for, and ``is_leaving`` says
    that it has announced that it stops.
    """

    instance: Instance
    endpoint: str
    driver: Driver
    boot_id: str
    reported_at: float
    is_leaving: bool

    @property
    def address(self) -> str:
        """Return the endpoint's ``IP:PORT``."""


class CrashReporter:
    """Check an endpoint after a run whose outcome is unknown."""

    def __init__(self, host: CrashHost) -> None:
        self._host = host
        self._quarantine = cast(
            Quarantine, host.instance.components_by_domain[QUARANTINE_DOMAIN]
        )

    def may_send(self, submit: Submit) -> bool:
        """Return whether a request may be sent to the endpoint."""
        if self._quarantine.is_empty:
            return True
        verdict = self._quarantine.judge(fingerprint_submit(submit))
        return verdict is not Verdict.QUARANTINED

    async def record_end(
        self, item: AcceptedRequest, outcome: Outcome, began_at: float, boot_id: str
    ) -> None:
        """Record a completed run, or report one that an endpoint crashed in.

        ``began_at`` is when the run began, in monotonic seconds, and
        ``boot_id`` the endpoint's start then.
        """
        failure = outcome.failure
        if failure is None:
            self._quarantine.record_completed(fingerprint_submit(item.submit))
            return
        if failure.kind is not ErrorKind.OUTCOME_UNKNOWN or self._host.is_leaving:
            return
        evidence = await gather_evidence(lambda: self._call(boot_id))
        log_event(
            "crash_checked",
            endpoint=self._host.endpoint,
            first=evidence.first.value,
            second=evidence.second.value,
            outcome="crashed" if evidence.shows_crash else "not_crashed",
        )
        alive = self._host.reported_at >= began_at - RECENTLY_ALIVE_S
        if evidence.shows_crash and (alive or not evidence.needs_life):
            self._quarantine.record_crash(
                item.request_id,
                fingerprint_submit(item.submit),
                f"{self._host.endpoint}@{boot_id}",
                began_at,
            )

    async def _call(self, boot_id: str) -> Liveness:
        try:
            connection = await connect(self._host.address, CRASH_CHECK_TIMEOUT_S)
        except NotConnectedError as error:
            return classify_failed_connect(error.__cause__)
        connection.close()
        asked_at = self._host.instance.now()
        report = await self._host.driver.report(CRASH_CHECK_TIMEOUT_S)
        if report is None:
            waited_s = self._host.instance.now() - asked_at
            quick = waited_s < CRASH_CHECK_TIMEOUT_S / 2
            return Liveness.CLOSED if quick else Liveness.SILENT
        replaced = boot_id not in ("", report.boot_id)
        return Liveness.REPLACED if replaced else Liveness.ALIVE
