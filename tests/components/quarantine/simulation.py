"""Simulated endpoints that some requests crash, on a virtual clock."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from fescuekeel.components.quarantine.const import CRASHES_TO_QUARANTINE
from fescuekeel.components.quarantine.ledger import Crash, CrashLedger, Verdict
from fescuekeel.util import rendezvous

# A run crashes its endpoint this long after it began.
FUSE_S = 0.1
DOWN_S = 4.0
MAX_SENDS = 4


def count_crashes(ledger, fingerprint, now):
    """Judge by the number of crashes alone, whoever else was in them."""
    crashes = len(ledger.list_crashes(fingerprint))
    return crashes >= CRASHES_TO_QUARANTINE


def judge(ledger, fingerprint, now):
    """Judge as the product does."""
    return ledger.judge(fingerprint, now) is Verdict.QUARANTINED


def choose_least_loaded(simulation, request):
    return min(
        simulation.list_up(),
        key=lambda id: (len(simulation.running_by_endpoint[id]), id),
        default=None,
    )


def choose_apart(simulation, request):
    """Spread suspects by their fingerprints; others as above."""
    if simulation.ledger.judge(request.fingerprint, simulation.now) is Verdict.CLEAR:
        return choose_least_loaded(simulation, request)
    return next(iter(rendezvous.rank(request.fingerprint, simulation.list_up())), None)


@dataclass(eq=False)
class Request:
    """A request; a culprit crashes each endpoint that runs it."""

    fingerprint: str
    culprit: bool
    duration_s: float
    sends: int = 0


@dataclass
class Simulation:
    """Endpoints, the requests that run there, and what became of them."""

    seed: int
    endpoints: int = 6
    requests_per_s: float = 20.0
    duration_s: float = 1.0
    culprits: int = 1
    repeat_s: float = 0.5
    seconds: float = 30.0
    is_quarantined: object = judge
    choose: object = choose_least_loaded
    max_sends: int = MAX_SENDS
    now: float = 0.0
    crashes: int = 0
    crashes_by_culprit: Counter = field(default_factory=Counter)
    outcomes: Counter = field(default_factory=Counter)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.ledger = CrashLedger()
        self.up_again_at = dict.fromkeys(map(str, range(self.endpoints)), 0.0)
        self.starts = Counter()
        self.running_by_endpoint = {id: [] for id in self.up_again_at}
        self._numbers = itertools.count()
        self._events = []

    def list_up(self):
        return [id for id, at in self.up_again_at.items() if at <= self.now]

    def call_at(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    def run(self):
        at = 0.0
        while at < self.seconds:
            at += self.random.expovariate(self.requests_per_s)
            length_s = self.random.expovariate(1 / self.duration_s)
            request = Request(f"i{next(self._numbers)}", False, length_s)
            self.call_at(at, self.send, request)
        for number in range(self.culprits):
            at = 2.0 + self.random.uniform(0.0, self.repeat_s)
            while at < self.seconds:
                request = Request(f"culprit{number}", True, FUSE_S)
                self.call_at(at, self.send, request)
                at += self.repeat_s * self.random.uniform(0.8, 1.2)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def send(self, request):
        if self.is_quarantined(self.ledger, request.fingerprint, self.now):
            self.end(request, "refused")
            return
        endpoint = self.choose(self, request)
        if endpoint is None or request.sends >= self.max_sends:
            self.end(request, "lost")
            return
        request.sends += 1
        self.running_by_endpoint[endpoint].append(request)
        start = self.starts[endpoint]
        action = self.crash if request.culprit else self.complete
        self.call_at(self.now + request.duration_s, action, endpoint, start, request)

    def end(self, request, outcome):
        kind = "culprit" if request.culprit else "innocent"
        self.outcomes[kind, outcome] += 1

    def complete(self, endpoint, start, request):
        if self.starts[endpoint] != start:
            return
        self.running_by_endpoint[endpoint].remove(request)
        self.ledger.record_completed(request.fingerprint, self.now)
        for crash in self.ledger.list_crashes(request.fingerprint):
            self.ledger.release(request.fingerprint, crash.endpoint)
        self.end(request, "served")

    def crash(self, endpoint, start, culprit):
        if self.starts[endpoint] != start:
            return
        self.crashes += 1
        self.crashes_by_culprit[culprit.fingerprint] += 1
        self.starts[endpoint] += 1
        self.up_again_at[endpoint] = self.now + DOWN_S
        suspects = self.running_by_endpoint[endpoint]
        self.running_by_endpoint[endpoint] = []
        for request in suspects:
            crash = Crash(f"{endpoint}@{start}", "i1", self.now)
            self.ledger.record_crash(request.fingerprint, crash)
        for request in suspects:
            self.call_at(self.now + 0.01, self.send, request)
