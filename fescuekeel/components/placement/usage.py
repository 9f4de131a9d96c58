"""Track the use of and demand for the weights of one endpoint; pure."""

from collections import Counter
from dataclasses import dataclass, field

from fescuekeel.components.placement.const import (
    GRANT_TTL_S,
    MIN_DEMAND,
    STALE_USE_TTL_S,
    USE_TTL_S,
    USE_UPDATE_WAIT_S,
)
from fescuekeel.components.placement.model import Demand, Use
from fescuekeel.helpers.published import Weights

__all__ = ["WeightUsage"]


@dataclass(slots=True)
class WeightUsage:
    """Track the running requests, admitted prompts and demand per weights.

    A prompt counts as a use from its admission request until it is refused,
    or until its instance reports it. No weights are thus unloaded under a
    prompt in transit, and an idle adapter can be unloaded without notice.

    >>> usage, cups = WeightUsage(), Weights("m", "cups")
    >>> usage.record_prompt_waiting(cups)
    >>> usage.record_prompt_decided(cups, "i1", granted=True, now=0.0)
    >>> usage.is_in_use(cups, now=0.1)
    True
    >>> usage.record_use("i1", cups, running=0, begun=1, now=0.5)
    >>> usage.is_in_use(cups, now=0.6)
    False
    """

    _uses: dict[Weights, dict[str, Use]] = field(default_factory=dict)
    _waiting: Counter[Weights] = field(default_factory=Counter)
    _granted: dict[Weights, dict[str, float]] = field(default_factory=dict)
    _last_update_by_instance: dict[str, float] = field(default_factory=dict)
    _demand: dict[Weights, Demand] = field(default_factory=dict)
    _held_since: float | None = None
    _endpoint_running: int = 0

    def record_claim_held(self, now: float) -> None:
        """Record that this instance holds the endpoint from now on."""
        self._held_since = now

    def record_report(self, running: int) -> None:
        """Record how many requests the endpoint reports as running."""
        self._endpoint_running = running

    def record_prompt_waiting(self, weights: Weights) -> None:
        """Count a prompt that waits for admission."""
        self._waiting[weights] += 1

    def record_prompt_decided(
        self, weights: Weights, instance_id: str, granted: bool, now: float
    ) -> None:
        """Record that a waiting prompt was admitted or refused."""
        self._waiting[weights] -= 1
        if self._waiting[weights] <= 0:
            del self._waiting[weights]
        if granted:
            self._granted.setdefault(weights, {})[instance_id] = now

    def record_use(
        self, instance_id: str, weights: Weights, running: int, begun: int, now: float
    ) -> None:
        """Apply an instance's use update."""
        self._uses.setdefault(weights, {})[instance_id] = Use(running, now)
        self._last_update_by_instance[instance_id] = now
        if begun:
            self._granted.get(weights, {}).pop(instance_id, None)
            self._demand.setdefault(weights, Demand()).add(begun, now)

    def count_running(self, weights: Weights, now: float) -> int:
        """Return the running requests for weights, over all instances."""
        uses = self._uses.get(weights, {})
        return sum(
            use.running for use in uses.values() if now - use.updated_at < USE_TTL_S
        )

    def count_all_running(self, now: float) -> int:
        """Return the running requests by the instances' updates."""
        return sum(self.count_running(weights, now) for weights in self._uses)

    def count_starting(self, now: float) -> int:
        """Return the admitted prompts that no update has covered yet."""
        return sum(
            now - granted < GRANT_TTL_S
            for granted_by_instance in self._granted.values()
            for granted in granted_by_instance.values()
        )

    def is_in_use(self, weights: Weights, now: float) -> bool:
        """Return whether weights have running or imminent requests."""
        if weights in self._waiting or self._is_granted(weights, now):
            return True
        if self.count_running(weights, now) > 0:
            return True
        return self._may_have_unknown_use(weights, now) and self._has_unknown_runs(now)

    def _may_have_unknown_use(self, weights: Weights, now: float) -> bool:
        """Return whether weights may have uses that no instance reports.

        Guards against unloading weights in use, which blocks the endpoint
        until their requests end. Uses are unknown right after a takeover,
        before all instances have sent theirs, and for instances behind a
        partition, whose streams the endpoint continues.
        """
        if self._held_since is None or now - self._held_since < USE_UPDATE_WAIT_S:
            return True
        uses = self._uses.get(weights, {}).values()
        return any(
            use.running and now - use.updated_at < STALE_USE_TTL_S for use in uses
        )

    def _has_unknown_runs(self, now: float) -> bool:
        """Return whether the endpoint runs more requests than are known."""
        return self._endpoint_running > self.count_all_running(now)

    def _is_granted(self, weights: Weights, now: float) -> bool:
        """Return whether an admitted prompt has not been reported yet.

        If its instance has sent no update since, the instance may be cut off,
        and the prompt counts for as long as a stream may last.
        """
        for instance_id, granted in self._granted.get(weights, {}).items():
            was_updated = (
                self._last_update_by_instance.get(instance_id, float("-inf")) > granted
            )
            if now - granted < (GRANT_TTL_S if was_updated else STALE_USE_TTL_S):
                return True
        return False

    def read_demand(self, weights: Weights, now: float) -> float:
        """Return the current demand for weights."""
        demand = self._demand.get(weights)
        return demand.read(now) if demand else 0.0

    def prune(self, now: float) -> None:
        """Drop expired demand, uses and admissions."""
        for weights, demand in list(self._demand.items()):
            if demand.read(now) < MIN_DEMAND:
                del self._demand[weights]
        for weights, uses in list(self._uses.items()):
            if all(now - use.updated_at > STALE_USE_TTL_S for use in uses.values()):
                del self._uses[weights]
        for weights in list(self._granted):
            if not self._is_granted(weights, now):
                del self._granted[weights]
        for instance_id, updated in list(self._last_update_by_instance.items()):
            if now - updated > STALE_USE_TTL_S:
                del self._last_update_by_instance[instance_id]
