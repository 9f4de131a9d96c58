"""Share crashes of endpoints with peers, and judge requests by them."""

import random
from collections.abc import Sequence
from typing import cast

from fescuekeel.components.gossip import (
    DOMAIN as GOSSIP_DOMAIN,
    Fact,
    Gossip,
    TopicLimits,
)
from fescuekeel.components.quarantine.const import (
    CRASH_TTL_S,
    DOMAIN,
    MAX_RELEASES,
    MAX_REPORTS,
)
from fescuekeel.components.quarantine.ledger import Crash, CrashLedger, Verdict
from fescuekeel.components.quarantine.part_ledger import SuspectRun
from fescuekeel.components.quarantine.parts import PartQuarantine
from fescuekeel.components.quarantine.reports import (
    SEPARATOR,
    OwnReports,
    pack_fingerprints,
    unpack_fingerprints,
)
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.ticks import sleep_to_tick
from fescuekeel.messages import SettingsReloaded

__all__ = ["Quarantine"]

CRASH_TOPIC = "crash"
RELEASE_TOPIC = "release"
EXPIRY_PERIOD_S = 1.0


class Quarantine:
    """Own the ledger of crashes; entries ask it before they send a request."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._ledger = CrashLedger()
        self._reports = OwnReports()
        # Peers may still know reports of an earlier start of this instance.
        self._start = f"{random.getrandbits(32):08x}"
        self._verdicts_by_fingerprint: dict[str, Verdict] = {}
        self._gossip = cast(Gossip, instance.components_by_domain[GOSSIP_DOMAIN])
        self._parts = PartQuarantine(instance, self._gossip, self._start)

    async def start(self) -> None:
        """Register the topics, and subscribe to changes of the settings."""
        self._gossip.register(
            CRASH_TOPIC, TopicLimits(CRASH_TTL_S, MAX_REPORTS), self._handle_report
        )
        self._gossip.register(
            RELEASE_TOPIC, TopicLimits(CRASH_TTL_S, MAX_RELEASES), self._handle_release
        )
        self._parts.register()
        self._instance.bus.subscribe(SettingsReloaded, self._handle_reload)
        self._instance.metrics.add_gauge("quarantine_requests", self._count_verdicts)
        self._instance.keep_running(self._expire_forever, f"{DOMAIN}.expire")

    async def stop(self) -> None:
        """Do nothing: the instance cancels the tasks."""

    def _count_verdicts(self) -> dict[str, float]:
        verdicts = list(self._verdicts_by_fingerprint.values())
        return {
            verdict.value: float(verdicts.count(verdict))
            for verdict in (Verdict.SUSPECT, Verdict.QUARANTINED)
        }

    # The interface for entries.

    @property
    def is_empty(self) -> bool:
        """Return whether no request and no part of prompts is suspected."""
        return self._ledger.is_empty and self._parts.is_empty

    def judge(self, fingerprint: str, parts: Sequence[str] = ()) -> Verdict:
        """Return the verdict on a request as a whole.

        ``parts`` are the keys of the caller and of its prompt's parts. Parts
        of other requests may explain its crashes.
        """

        def explains(endpoint: str, crashes: int) -> bool:
            return self._parts.explains(endpoint, crashes, parts)

        return self._ledger.judge(fingerprint, self._instance.now(), explains)

    def check(
        self, fingerprint: str, may_have_run: bool, parts: Sequence[str] = ()
    ) -> Failure | None:
        """Return the failure of a quarantined request, ``None`` for others."""
        if self.judge(fingerprint, parts) is not Verdict.QUARANTINED:
            return self._parts.check(parts, may_have_run)
        crashes = self._ledger.list_crashes(fingerprint)
        detail = f"crashed {len(crashes)} endpoints, fingerprint {fingerprint}"
        ran = Ran.YES if may_have_run else Ran.NO
        return Failure(ErrorKind.QUARANTINED, detail, ran)

    def record_crash(
        self,
        request_id: str,
        fingerprint: str,
        endpoint: str,
        began_at: float,
        parts: tuple[str, ...] = (),
        written_s: float = 0.0,
    ) -> None:
        """Report that a request ran on an endpoint that has crashed.

        ``began_at`` is when it was sent there, on the instance's clock, and
        ``written_s`` for how long its answer had been coming.
        """
        now = self._instance.now()
        if self._ledger.has_completed_lately(fingerprint, now):
            self._instance.metrics.count("quarantine.completed_lately")
            return
        report = self._reports.add(endpoint, fingerprint, began_at, now)
        if report is None:
            return
        log_event(
            "request_in_crash",
            request_id=request_id,
            fingerprint=fingerprint,
            endpoint=report.crash,
            crashes=len(self._ledger.list_crashes(fingerprint)) + 1,
            outcome="reported",
        )
        self._gossip.publish(
            CRASH_TOPIC,
            SEPARATOR.join((report.crash, self._instance.id, self._start)),
            len(report.fingerprints),
            pack_fingerprints(report.fingerprints),
        )
        run = SuspectRun(fingerprint, parts)
        self._parts.record_crash(request_id, report.crash, run, written_s)

    def record_completed(self, fingerprint: str, parts: Sequence[str] = ()) -> None:
        """Record that an endpoint has completed a request.

        A request that was in several crashes is released everywhere. One that
        was in a single one is not worth a message: its crash expires.
        """
        self._ledger.record_completed(fingerprint, self._instance.now())
        self._parts.record_completed(parts)
        if len(self._ledger.list_crashes(fingerprint)) > 1:
            self._release(fingerprint, "completed")

    # Facts of this instance and of others.

    def _handle_report(self, fact: Fact) -> None:
        endpoint, seen_by, _ = fact.key.split(SEPARATOR)
        crash = Crash(endpoint, seen_by, fact.created_at)
        self._reports.record_known(endpoint, self._instance.now())
        for fingerprint in unpack_fingerprints(fact.payload):
            key = f"{fingerprint}{SEPARATOR}{endpoint}"
            if not self._gossip.knows(RELEASE_TOPIC, key):
                self._ledger.record_crash(fingerprint, crash)
        self._update_verdicts()

    def _release(self, fingerprint: str, reason: str) -> None:
        for crash in self._ledger.list_crashes(fingerprint):
            key = f"{fingerprint}{SEPARATOR}{crash.endpoint}"
            self._gossip.publish(RELEASE_TOPIC, key, 1, reason.encode())

    def _handle_release(self, fact: Fact) -> None:
        fingerprint, _, endpoint = fact.key.partition(SEPARATOR)
        self._ledger.release(fingerprint, endpoint)
        self._update_verdicts()

    # Verdicts.

    def _update_verdicts(self) -> None:
        """Log and count the verdicts that have changed."""
        now = self._instance.now()
        before = self._verdicts_by_fingerprint
        after = {
            fingerprint: self._ledger.judge(fingerprint, now)
            for fingerprint in self._ledger.list_suspects()
        }
        self._verdicts_by_fingerprint = after
        for fingerprint in before.keys() | after.keys():
            verdict = after.get(fingerprint, Verdict.CLEAR)
            if before.get(fingerprint, Verdict.CLEAR) is not verdict:
                self._log_verdict(fingerprint, verdict, now)

    def _log_verdict(self, fingerprint: str, verdict: Verdict, now: float) -> None:
        self._instance.metrics.count(f"quarantine.{verdict}")
        crashes = self._ledger.list_crashes(fingerprint)
        log_event(
            "quarantine_changed",
            fingerprint=fingerprint,
            endpoints=",".join(crash.endpoint for crash in crashes),
            seen_by=",".join(crash.seen_by for crash in crashes),
            age_ms=round((now - crashes[-1].seen_at) * 1000) if crashes else 0,
            outcome=verdict.value,
        )

    async def _expire_forever(self) -> None:
        while True:
            await sleep_to_tick(EXPIRY_PERIOD_S)
            if not self._ledger.is_empty:
                self._ledger.expire(self._instance.now())
                self._update_verdicts()
            if not self._parts.is_empty:
                self._parts.expire()

    # Operators.

    def _handle_reload(self, reloaded: SettingsReloaded) -> None:
        """Release the requests and parts that an operator names."""
        for fingerprint in self._instance.settings.quarantine.released:
            self._release(fingerprint, "operator")
            self._parts.release(fingerprint, "operator")
