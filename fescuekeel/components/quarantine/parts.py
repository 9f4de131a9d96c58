"""Share which parts of prompts were in crashes, and judge requests by them."""

from collections.abc import Iterable, Sequence

from fescuekeel.components.gossip import Fact, Gossip, TopicLimits
from fescuekeel.components.quarantine.const import (
    CRASH_TTL_S,
    MAX_RELEASES,
    MAX_REPORTED_RUNS,
    MAX_REPORTS,
    MAX_WRITTEN_S,
)
from fescuekeel.components.quarantine.ledger import Crash
from fescuekeel.components.quarantine.part_ledger import PartLedger, SuspectRun
from fescuekeel.components.quarantine.part_reports import pack_runs, unpack_runs
from fescuekeel.components.quarantine.reports import SEPARATOR
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.helpers.logging import log_event

__all__ = ["PartQuarantine"]

CRASH_TOPIC = "part_crash"
RELEASE_TOPIC = "part_release"
MS_PER_S = 1000


class PartQuarantine:
    """Own the ledger of parts; the quarantine asks it for its verdicts."""

    def __init__(self, instance: Instance, gossip: Gossip, start: str) -> None:
        self._instance = instance
        self._gossip = gossip
        self._start = start
        self._ledger = PartLedger()
        self._runs_by_crash: dict[str, list[SuspectRun]] = {}
        self._quarantined: set[str] = set()

    def register(self) -> None:
        """Register the topics and the gauge."""
        self._gossip.register(
            CRASH_TOPIC, TopicLimits(CRASH_TTL_S, MAX_REPORTS), self._handle_report
        )
        self._gossip.register(
            RELEASE_TOPIC, TopicLimits(CRASH_TTL_S, MAX_RELEASES), self._handle_release
        )
        self._instance.metrics.add_gauge("quarantine_parts", self._count_parts)

    def _count_parts(self) -> dict[str, float]:
        suspects = len(self._ledger.list_suspects())
        quarantined = len(self._quarantined)
        return {
            "suspect": float(suspects - quarantined),
            "quarantined": float(quarantined),
        }

    @property
    def is_empty(self) -> bool:
        """Return whether no part is suspected."""
        return self._ledger.is_empty

    def check(self, parts: Sequence[str], may_have_run: bool) -> Failure | None:
        """Return the failure of a request with a quarantined part."""
        part = next((each for each in parts if each in self._quarantined), None)
        if part is None:
            return None
        crashes = len(self._ledger.list_crashes(part))
        detail = f"part {part} of the prompt crashed {crashes} endpoints"
        ran = Ran.YES if may_have_run else Ran.NO
        return Failure(ErrorKind.QUARANTINED, detail, ran)

    def explains(self, endpoint: str, crashes: int, except_for: Sequence[str]) -> bool:
        """Return whether a part of other requests explains a crash."""
        return self._ledger.explains(endpoint, crashes, except_for)

    # Evidence of this instance.

    def record_crash(
        self, request_id: str, crash: str, run: SuspectRun, written_s: float
    ) -> None:
        """Report the parts of a request that ran on an endpoint that crashed.

        ``written_s`` is how long its answer had been coming. Parts that have
        completed lately are left out. The first key is that of the owner, who
        is no suspect.
        """
        now = self._instance.now()
        if written_s > MAX_WRITTEN_S or not run.parts:
            return
        sound = [
            key for key in run.parts if self._ledger.has_completed_lately(key, now)
        ]
        parts = tuple(key for key in run.parts[1:] if key not in sound)
        if not parts:
            return
        runs = self._get_runs(crash)
        if len(runs) >= MAX_REPORTED_RUNS:
            return
        runs.append(SuspectRun(run.fingerprint, parts, bool(sound)))
        log_event(
            "parts_in_crash",
            request_id=request_id,
            endpoint=crash,
            parts=",".join(parts),
            written_ms=round(written_s * MS_PER_S),
            outcome="reported",
        )
        key = SEPARATOR.join((crash, self._instance.id, self._start))
        self._gossip.publish(CRASH_TOPIC, key, len(runs), pack_runs(runs))

    def _get_runs(self, crash: str) -> list[SuspectRun]:
        if crash not in self._runs_by_crash and len(self._runs_by_crash) >= MAX_REPORTS:
            del self._runs_by_crash[next(iter(self._runs_by_crash))]
        return self._runs_by_crash.setdefault(crash, [])

    def record_completed(self, parts: Sequence[str]) -> None:
        """Record that an endpoint has completed a request with these parts."""
        self._ledger.record_completed(parts, self._instance.now())
        if not self._ledger.is_empty:
            self._release_completed(parts)

    def _release_completed(self, parts: Iterable[str]) -> None:
        """Release parts that have completed lately, from a second crash on.

        A single crash is not worth a message: it does not suffice for a
        verdict, and expires.
        """
        now = self._instance.now()
        for part in parts:
            if len(self._ledger.list_crashes(part)) < 2:
                continue
            if self._ledger.has_completed_lately(part, now):
                self.release(part, "completed")

    def release(self, part: str, reason: str) -> None:
        """Tell all instances that a part has not caused its crashes."""
        for crash in self._ledger.list_crashes(part):
            key = f"{part}{SEPARATOR}{crash.endpoint}"
            self._gossip.publish(RELEASE_TOPIC, key, 1, reason.encode())

    # Facts of this instance and of others.

    def _handle_report(self, fact: Fact) -> None:
        endpoint, seen_by, _ = fact.key.split(SEPARATOR)
        crash = Crash(endpoint, seen_by, fact.created_at)
        suspects: set[str] = set()
        for run in unpack_runs(fact.payload):
            parts = tuple(
                part for part in run.parts if not self._is_released(part, endpoint)
            )
            is_sound = run.has_sound_part or len(parts) < len(run.parts)
            suspect = SuspectRun(run.fingerprint, parts, is_sound)
            self._ledger.record_crash(crash, suspect)
            suspects.update(parts)
        self._release_completed(suspects)
        self.update_verdicts()

    def _is_released(self, part: str, endpoint: str) -> bool:
        return self._gossip.knows(RELEASE_TOPIC, f"{part}{SEPARATOR}{endpoint}")

    def _handle_release(self, fact: Fact) -> None:
        part, _, endpoint = fact.key.partition(SEPARATOR)
        self._ledger.release(part, endpoint)
        self.update_verdicts()

    # Verdicts.

    def expire(self) -> None:
        """Drop old crashes and end old verdicts."""
        self._ledger.expire(self._instance.now())
        self.update_verdicts()

    def update_verdicts(self) -> None:
        """Log and count the verdicts that have changed."""
        now = self._instance.now()
        before = self._quarantined
        self._quarantined = self._ledger.list_quarantined(now)
        for part in sorted(before ^ self._quarantined):
            self._log_verdict(part, now)

    def _log_verdict(self, part: str, now: float) -> None:
        outcome = "quarantined" if part in self._quarantined else "clear"
        self._instance.metrics.count(f"quarantine.part_{outcome}")
        crashes = self._ledger.list_crashes(part)
        log_event(
            "part_quarantine_changed",
            part=part,
            endpoints=",".join(crash.endpoint for crash in crashes),
            seen_by=",".join(crash.seen_by for crash in crashes),
            age_ms=round((now - crashes[-1].seen_at) * MS_PER_S) if crashes else 0,
            outcome=outcome,
        )
