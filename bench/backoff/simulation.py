"""Simulate instances that send to endpoints, some of which back off."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from fescuekeel.components.endpoints.backoffs import BackOffs

__all__ = ["Knowledge", "Play", "Result", "Return", "Trouble", "simulate"]

ENDPOINTS = 4
TROUBLED = 2
SERVICE_S = 0.08
SLOTS = 32
TROUBLED_SLOTS = 2
RETRY_AFTER_S = 3.0
MAX_ATTEMPTS = 2
TROUBLE_FROM_S, TROUBLE_TO_S, END_S = 2.0, 11.0, 18.0
NEWS_S = 0.03
RUSH_WINDOW_S = 0.3


class Knowledge(StrEnum):
    """Who acts on a back-off beside the instance that was asked."""

    OWN = "own instance"
    HINT = "others avoid it"
    RULE = "others send nothing"


class Return(StrEnum):
    """How requests return after a back-off."""

    AT_ONCE = "at once"
    DELAYED = "random delay"
    STEPS = "delay and steps"


class Trouble(StrEnum):
    """What some of the endpoints do meanwhile."""

    REJECT = "reject all"
    SLOW = "an eighth of their room"


@dataclass(frozen=True, slots=True)
class Play:
    """The inputs of a simulation."""

    instances: int
    requests_per_s: float
    trouble: Trouble
    knowledge: Knowledge
    returning: Return
    troubled: int = TROUBLED
    seed: int = 1


@dataclass(slots=True)
class Result:
    """What callers and endpoints saw."""

    served: int = 0
    refused: int = 0
    rejections: int = 0
    arrivals: dict[int, list[float]] = field(default_factory=dict)

    @property
    def served_share(self) -> float:
        """Return the share of the requests in the trouble that were served."""
        return self.served / max(1, self.served + self.refused)

    def find_rush(self) -> int:
        """Return the most arrivals in 0.3 s at an endpoint when it is back."""
        most = 0
        for times in self.arrivals.values():
            back = [at for at in times if at >= TROUBLE_TO_S]
            for at in back:
                window = sum(at <= other < at + RUSH_WINDOW_S for other in back)
                most = max(most, window)
        return most


@dataclass(slots=True)
class Instance:
    """What one instance knows."""

    own: BackOffs = field(default_factory=BackOffs)
    heard: BackOffs = field(default_factory=BackOffs)
    running: list[int] = field(default_factory=lambda: [0] * ENDPOINTS)


class Simulation:
    """Events in order of time."""

    def __init__(self, play: Play) -> None:
        self.play = play
        self.random = Random(play.seed)
        self.result = Result(arrivals={id: [] for id in range(play.troubled)})
        self.instances = [Instance() for _ in range(play.instances)]
        self.running = [0] * ENDPOINTS
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self._number += 1
        heapq.heappush(self._events, (time, self._number, action))

    def run(self) -> Result:
        """Play until the end."""
        time = 0.0
        while time < END_S:
            time += self.random.expovariate(self.play.requests_per_s)
            instance = self.random.choice(self.instances)
            self.at(time, lambda instance=instance: self.send(instance, set()))  # type: ignore[misc]
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    # Instances.

    def send(self, instance: Instance, tried: set[int]) -> None:
        """Send a request, or refuse it."""
        endpoint = self.choose(instance, tried)
        if endpoint is None or len(tried) >= MAX_ATTEMPTS:
            self.end(served=False)
            return
        instance.running[endpoint] += 1
        is_return = instance.own.record_sent(str(endpoint), self.now)
        rejected = self.arrive(endpoint)
        if not rejected:
            self.running[endpoint] += 1
            done = lambda: self.finish(instance, endpoint, is_return)  # noqa: E731
            self.at(self.now + SERVICE_S, done)
            return
        instance.running[endpoint] -= 1
        if is_return:
            instance.own.record_ended(str(endpoint), answered=False)
        self.record_rejected(instance, endpoint)
        again = lambda: self.send(instance, tried | {endpoint})  # noqa: E731
        self.at(self.now + 0.002, again)

    def choose(self, instance: Instance, tried: set[int]) -> int | None:
        """Return the endpoint with the fewest requests of this instance."""
        allowed = [id for id in range(ENDPOINTS) if self.may_send(instance, id)]
        allowed = [id for id in allowed if id not in tried] or allowed
        if self.play.knowledge is Knowledge.HINT:
            others = [id for id in allowed if not self.is_heard(instance, id)]
            allowed = others or allowed
        if not allowed:
            return None
        return min(allowed, key=lambda id: (instance.running[id], self.random.random()))

    def may_send(self, instance: Instance, endpoint: int) -> bool:
        """Return whether an instance may send to an endpoint now."""
        if instance.own.find_until(str(endpoint), self.now) is not None:
            return False
        is_rule = self.play.knowledge is Knowledge.RULE
        if is_rule and self.is_heard(instance, endpoint):
            return False
        if self.play.returning is not Return.STEPS:
            return True
        return not instance.own.is_window_full(str(endpoint), self.now)

    def is_heard(self, instance: Instance, endpoint: int) -> bool:
        """Return whether another instance was asked to back off."""
        return instance.heard.find_until(str(endpoint), self.now) is not None

    def record_rejected(self, instance: Instance, endpoint: int) -> None:
        """Record a back-off, and tell the others."""
        self.result.rejections += 1
        at_once = self.play.returning is Return.AT_ONCE
        share = 0.0 if at_once else self.random.random()
        name = str(endpoint)
        instance.own.record_rejected(name, RETRY_AFTER_S, self.now, share)
        if self.play.knowledge is not Knowledge.OWN:
            until = self.now + RETRY_AFTER_S
            self.at(self.now + NEWS_S, lambda: self.tell(name, until))

    def tell(self, endpoint: str, until: float) -> None:
        """Let all instances hear of a back-off."""
        for instance in self.instances:
            share = 0.0
            if self.play.returning is not Return.AT_ONCE:
                share = self.random.random()
            instance.heard.record_rejected(endpoint, until - self.now, self.now, share)

    # Endpoints.

    def arrive(self, endpoint: int) -> bool:
        """Let a request arrive; return whether it is rejected."""
        in_trouble = (
            endpoint < self.play.troubled and TROUBLE_FROM_S <= self.now < TROUBLE_TO_S
        )
        if endpoint < self.play.troubled:
            self.result.arrivals[endpoint].append(self.now)
        if in_trouble and self.play.trouble is Trouble.REJECT:
            return True
        return self.running[endpoint] >= (TROUBLED_SLOTS if in_trouble else SLOTS)

    def finish(self, instance: Instance, endpoint: int, is_return: bool) -> None:
        """End a request that was served."""
        self.running[endpoint] -= 1
        instance.running[endpoint] -= 1
        if is_return:
            instance.own.record_ended(str(endpoint), answered=True)
        self.end(served=True)

    def end(self, served: bool) -> None:
        """Count a request that ends in the trouble."""
        if not TROUBLE_FROM_S <= self.now < TROUBLE_TO_S:
            return
        if served:
            self.result.served += 1
        else:
            self.result.refused += 1


def simulate(play: Play) -> Result:
    """Return the result of one play."""
    return Simulation(play).run()
