"""Simulated endpoints that some parts of prompts crash, on a virtual clock."""

import heapq
import itertools
from dataclasses import dataclass, field

from fescuekeel.components.quarantine.const import (
    CRASHES_TO_QUARANTINE,
    MAX_WRITTEN_S,
)
from fescuekeel.components.quarantine.ledger import Crash, Verdict
from fescuekeel.components.quarantine.part_ledger import PartLedger, SuspectRun
from tests.components.quarantine.simulation import FUSE_S, Request, Simulation

FIRST_EVENT_S = 0.05
SESSIONS = 40
OWNER = "owner"


def judge_part(ledger, parts, now):
    """Judge as the product does."""
    return any(ledger.is_quarantined(part, now) for part in parts)


def count_part_crashes(ledger, parts, now):
    """Judge by the number of crashes without a completion alone."""
    return any(
        len(ledger.list_crashes(part)) >= CRASHES_TO_QUARANTINE for part in parts
    )


def never(ledger, parts, now):
    return False


@dataclass(eq=False)
class PartRequest(Request):
    """A request with the parts that it shares with others."""

    parts: tuple[str, ...] = ()
    began_at: float = 0.0


@dataclass
class PartSimulation(Simulation):
    """Requests that share parts; culprits are new each time, but for a part.

    ``trees`` is the number of first parts, and ``culprit_paths`` are the parts
    of the requests that crash endpoints. With ``counts_before`` parts that
    completed shortly before a crash are no suspects.
    """

    trees: int = 1
    culprit_paths: tuple[tuple[str, ...], ...] = (("system0", "tools", "bad"),)
    culprits_per_s: float = 4.0
    judge_part: object = judge_part
    counts_before: bool = True
    # A run that has written for longer is not suspected.
    max_written_s: float = MAX_WRITTEN_S
    first_at: float = 4.0
    knows_after_s: float = 0.1
    parts: PartLedger = field(default_factory=PartLedger)
    parts_by_fingerprint: dict = field(default_factory=dict)

    def __post_init__(self):
        super().__post_init__()
        self.is_quarantined = self.judge_request

    def run(self):
        at = 0.0
        while at < self.seconds:
            at += self.random.expovariate(self.requests_per_s)
            tree = int(self.trees * self.random.random() ** 3)
            session = f"s{self.random.randrange(SESSIONS)}"
            length_s = self.random.expovariate(1 / self.duration_s)
            parts = (f"system{tree}", "tools", f"{tree}{session}")
            request = PartRequest(f"i{next(self._numbers)}", False, length_s)
            request.parts = parts
            self.call_at(at, self.send, request)
        for number, path in enumerate(self.culprit_paths):
            self._add_culprits(number, path)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def _add_culprits(self, number, path):
        at = self.first_at
        for count in itertools.count():
            at += self.random.expovariate(self.culprits_per_s)
            if at >= self.seconds:
                return
            culprit = PartRequest(f"culprit{number}-{count}", True, FUSE_S)
            culprit.parts = path
            self.call_at(at, self.send, culprit)

    def judge_request(self, ledger, fingerprint, now):
        """Judge a whole request; parts of others may explain its crashes."""
        parts = self.parts_by_fingerprint.get(fingerprint, ())

        def explains(endpoint, crashes):
            return self.parts.explains(endpoint, crashes, parts)

        return ledger.judge(fingerprint, now, explains) is Verdict.QUARANTINED

    def send(self, request):
        self.parts_by_fingerprint[request.fingerprint] = request.parts
        if self.judge_part(self.parts, request.parts, self.now):
            self.end(request, "refused")
            return
        request.began_at = self.now
        super().send(request)

    def complete(self, endpoint, start, request):
        super().complete(endpoint, start, request)
        if self.starts[endpoint] != start:
            return
        if self.counts_before:
            self.parts.record_completed((OWNER, *request.parts), self.now)
        for part in request.parts:
            self.parts.release(part)

    def crash(self, endpoint, start, culprit):
        if self.starts[endpoint] != start:
            return
        suspects = [
            request
            for request in self.running_by_endpoint[endpoint]
            if self.now - request.began_at - FIRST_EVENT_S <= self.max_written_s
        ]
        super().crash(endpoint, start, culprit)
        at = self.now + self.knows_after_s
        self.call_at(at, self.learn, f"{endpoint}@{start}", suspects)

    def learn(self, crash_id, suspects):
        """Record a crash; instances know of it somewhat later."""
        for request in suspects:
            parts = tuple(
                part
                for part in request.parts
                if not self.parts.has_completed_lately(part, self.now)
            )
            crash = Crash(crash_id, "i1", self.now)
            is_sound = len(parts) < len(request.parts)
            is_sound = is_sound or self.parts.has_completed_lately(OWNER, self.now)
            run = SuspectRun(request.fingerprint, parts, is_sound)
            self.parts.record_crash(crash, run)
