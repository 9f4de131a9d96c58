"""Report the requests that ran on an endpoint when it crashed."""

import asyncio
from typing import Protocol, cast

from fescuekeel.components.owner.const import RECENTLY_ALIVE_S
from fescuekeel.components.owner.model import AcceptedRequest
from fescuekeel.components.owner.peer_checks import ask_peers, call_endpoint
from fescuekeel.components.quarantine import (
    DOMAIN as QUARANTINE_DOMAIN,
    Quarantine,
    Verdict,
)
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.driver import Driver, Outcome
from fescuekeel.helpers.fingerprint import fingerprint_submit
from fescuekeel.helpers.liveness import CrashEvidence, Liveness, gather_evidence
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
        self._checks_by_boot_id: dict[str, asyncio.Task[CrashEvidence]] = {}

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
        evidence = await self._share_check(boot_id)
        alive = self._host.reported_at >= began_at - RECENTLY_ALIVE_S
        if evidence.shows_crash and (alive or not evidence.needs_life):
            self._quarantine.record_crash(
                item.request_id,
                fingerprint_submit(item.submit),
                f"{self._host.endpoint}@{boot_id}",
                began_at,
            )

    async def _share_check(self, boot_id: str) -> CrashEvidence:
        """Check the endpoint once for all runs that broke with it."""
        check = self._checks_by_boot_id.get(boot_id)
        if check is None:
            check = self._host.instance.spawn(self._check(boot_id), "owner.crash_check")
            self._checks_by_boot_id[boot_id] = check
            check.add_done_callback(lambda _: self._checks_by_boot_id.pop(boot_id))
        return await asyncio.shield(check)

    async def _check(self, boot_id: str) -> CrashEvidence:
        host = self._host
        evidence = await gather_evidence(
            lambda: call_endpoint(host.instance, host.address, host.driver, boot_id)
        )
        peers = Liveness.SILENT
        if evidence.shows_crash and evidence.second is not Liveness.REPLACED:
            peers = await ask_peers(
                host.instance, host.endpoint, boot_id, evidence.second
            )
            evidence = evidence.add_peer(peers, took_s=float("inf"))
        outcome = "crashed" if evidence.shows_crash else "not_crashed"
        host.instance.metrics.count(f"crash_check.{outcome}")
        log_event(
            "crash_checked",
            endpoint=host.endpoint,
            first=evidence.first.value,
            second=evidence.second.value,
            peer=peers.value,
            outcome=outcome,
        )
        return evidence
