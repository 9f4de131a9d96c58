"""Two deployments and the request traces that are simulated on them."""

import bisect
import itertools
import random
from dataclasses import dataclass

from fescuekeel.messages import AdapterRef

__all__ = [
    "DEPLOYMENTS",
    "TRACES",
    "Deployment",
    "Request",
    "RequestKind",
    "Trace",
    "make_trace",
]

ADAPTERS = 3000
ZIPF_EXPONENT = 0.9
DATA_CENTRES = 3
SLOTS = 8
# Two half-lives of the arrival counts, so that steady traces exclude the time
# in which popularity is learned.
WARM_UP_S = 600.0
DURATION_S = 960.0
CHANGE_STARTS_S = 660.0
CHANGE_ENDS_S = 720.0
# Utilization of the store at the knee rate, with the most popular adapters
# cached permanently.
KNEE_UTILIZATION = 0.9


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One service; ``tokens`` is the mean length of its answers."""

    name: str
    urgency: int
    answer_s: float
    tokens: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """The engine pool of one deployment.

    Slots, requests per step, services, urgency, answer times and weights are
    those of the trees in ``examples/``; answer lengths are assumed. Plain
    workers load no adapters and are left out.
    """

    name: str
    workers: int
    max_running: int
    step_s: float
    loads_per_s: float
    stall_weight: float
    batch_weight: float
    peak_factor: float
    kinds: tuple[RequestKind, ...]

    @property
    def load_s(self) -> float:
        """Return the time of one load at full speed in seconds."""
        return 1.0 / self.loads_per_s

    @property
    def knee_per_s(self) -> float:
        """Return the request rate at the weight store's knee."""
        weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(ADAPTERS)]
        missed = sum(weights[self.workers * SLOTS :]) / sum(weights)
        return KNEE_UTILIZATION * self.loads_per_s / missed


DEPLOYMENTS = {
    item.name: item
    for item in (
        Deployment(
            name="nyirahabimana",
            workers=5,
            max_running=16,
            step_s=0.008,
            loads_per_s=2.0,
            stall_weight=4.0,
            batch_weight=1.0,
            peak_factor=2.0,
            kinds=(
                RequestKind("scripts", 0, 8.0, 100),
                RequestKind("methods", 1, 20.0, 120),
                RequestKind("plans", 3, 60.0, 200),
            ),
        ),
        Deployment(
            name="vandenbroucke",
            workers=9,
            max_running=24,
            step_s=0.009,
            loads_per_s=5.0,
            stall_weight=1.0,
            batch_weight=4.0,
            peak_factor=4.0,
            kinds=(
                RequestKind("reports", 0, 12.0, 200),
                RequestKind("summaries", 2, 30.0, 120),
            ),
        ),
    )
}


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a trace; times in seconds from its start."""

    id: str
    at: float
    adapter: AdapterRef
    kind: RequestKind
    tokens: int
    data_centre: str


@dataclass(frozen=True, slots=True)
class Trace:
    """Requests in order of arrival, and the fault to inject."""

    name: str
    seed: int
    requests: tuple[Request, ...]
    restarts: bool = False
    has_partition: bool = False
    kills_owner: bool = False


# Rate in units of the knee, for each trace.
TRACES = {
    "below": 0.67,
    "knee": 1.0,
    "above": 1.5,
    "triple": 3.0,
    "shift": 0.67,
    "peak": 0.67,
    "restart": 0.67,
    "cut": 0.67,
    "owner": 0.67,
}


def make_trace(deployment: Deployment, name: str, seed: int) -> Trace:
    """Generate a trace; deterministic for the same arguments."""
    random_ = random.Random(f"{deployment.name}/{name}/{seed}")
    popularity = _Popularity(random_)
    kinds_by_adapter = {
        adapter: random_.choice(deployment.kinds) for adapter in popularity.adapters
    }
    requests: list[Request] = []
    rate = TRACES[name] * deployment.knee_per_s
    at = 0.0
    while True:
        changed = CHANGE_STARTS_S <= at < CHANGE_ENDS_S
        peak = deployment.peak_factor if name == "peak" and changed else 1.0
        at += random_.expovariate(rate * peak)
        if at >= DURATION_S:
            break
        if name == "shift" and at >= CHANGE_STARTS_S:
            popularity.shift()
        # At the peak only a few adapters are in use.
        head = 200 if peak > 1.0 else ADAPTERS
        adapter = popularity.draw(head)
        kind = kinds_by_adapter[adapter]
        requests.append(_draw(random_, f"r{len(requests)}", adapter, at, kind))
    return Trace(
        name=name,
        seed=seed,
        requests=tuple(requests),
        restarts=name == "restart",
        has_partition=name == "cut",
        kills_owner=name == "owner",
    )


def _draw(
    random_: random.Random, id: str, adapter: AdapterRef, at: float, kind: RequestKind
) -> Request:
    return Request(
        id=id,
        at=at,
        adapter=adapter,
        kind=kind,
        tokens=1 + int(random_.expovariate(1 / kind.tokens)),
        data_centre=f"dc{random_.randrange(DATA_CENTRES)}",
    )


class _Popularity:
    """Zipf popularity of adapters; a shift reassigns the ranks."""

    def __init__(self, random_: random.Random) -> None:
        self._random = random_
        weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(ADAPTERS)]
        self._sums = list(itertools.accumulate(weights))
        self.adapters = [AdapterRef(f"a{number}", "1") for number in range(ADAPTERS)]
        random_.shuffle(self.adapters)
        self._shifted = False

    def draw(self, head: int) -> AdapterRef:
        """Draw one of the ``head`` most popular adapters."""
        point = self._random.random() * self._sums[head - 1]
        return self.adapters[bisect.bisect(self._sums, point)]

    def shift(self) -> None:
        """Swap popular and unpopular adapters, once."""
        if self._shifted:
            return
        self._shifted = True
        self.adapters = self.adapters[ADAPTERS // 2 :] + self.adapters[: ADAPTERS // 2]
