"""How the weights of one endpoint are used, as its holder knows it; pure."""

from collections import Counter
from dataclasses import dataclass, field

from fescuekeel.components.placement.const import (
    GRANT_TTL_S,
    NO_DEMAND,
    STALE_USE_TTL_S,
    USE_TTL_S,
    USES_TOLD_S,
)
from fescuekeel.components.placement.model import Demand, Use
from fescuekeel.helpers.published import Weights

__all__ = ["WeightUsage"]


@dataclass(slots=True)
class WeightUsage:
    """Hold who uses which weights, who is about to, and what is asked for.

    A prompt counts as a use from the moment in which its turn is asked for
    here: until it is granted, then for as long as its instance takes to tell
    of it. So nothing is unloaded under a prompt that is on its way, and an
    adapter that nobody uses can go at once, without a notice to anybody.

    >>> usage, cups = WeightUsage(), Weights("m", "cups")
    >>> usage.expect(cups)
    >>> usage.settle(cups, "i1", granted=True, now=0.0)
    >>> usage.is_in_use(cups, now=0.1)
    True
    >>> usage.note_use("i1", cups, running=0, begun=1, now=0.5)
    >>> usage.is_in_use(cups, now=0.6)
    False
    """

    _uses: dict[Weights, dict[str, Use]] = field(default_factory=dict)
    _expected: Counter[Weights] = field(default_factory=Counter)
    _granted: dict[Weights, dict[str, float]] = field(default_factory=dict)
    _heard: dict[str, float] = field(default_factory=dict)
    _demand: dict[Weights, Demand] = field(default_factory=dict)
    _held_since: float | None = None
    _reported_runs: int = 0

    def begin(self, now: float) -> None:
        """Note that this instance orders the endpoint from now on."""
        self._held_since = now

    def note_report(self, running: int) -> None:
        """Take how many requests the endpoint says it runs."""
        self._reported_runs = running

    def expect(self, weights: Weights) -> None:
        """Note that a prompt waits for its turn."""
        self._expected[weights] += 1

    def settle(self, weights: Weights, user: str, granted: bool, now: float) -> None:
        """Note that a prompt waits no longer; once granted, it is sent."""
        self._expected[weights] -= 1
        if self._expected[weights] <= 0:
            del self._expected[weights]
        if granted:
            self._granted.setdefault(weights, {})[user] = now

    def note_use(
        self, user: str, weights: Weights, running: int, begun: int, now: float
    ) -> None:
        """Take what an instance tells of its requests."""
        self._uses.setdefault(weights, {})[user] = Use(running, now)
        self._heard[user] = now
        if begun:
            self._granted.get(weights, {}).pop(user, None)
            self._demand.setdefault(weights, Demand()).add(begun, now)

    def count_running(self, weights: Weights, now: float) -> int:
        """Return how many requests run on weights, over all instances."""
        uses = self._uses.get(weights, {})
        return sum(use.running for use in uses.values() if now - use.told < USE_TTL_S)

    def count_all_running(self, now: float) -> int:
        """Return how many requests run here, as far as instances tell."""
        return sum(self.count_running(weights, now) for weights in self._uses)

    def count_starting(self, now: float) -> int:
        """Return how many have had their turn, and are not told of yet."""
        return sum(
            now - granted < GRANT_TTL_S
            for granted_by_user in self._granted.values()
            for granted in granted_by_user.values()
        )

    def is_in_use(self, weights: Weights, now: float) -> bool:
        """Tell whether a request runs on weights, or is about to."""
        if weights in self._expected or self._is_granted(weights, now):
            return True
        if self.count_running(weights, now) > 0:
            return True
        return self._may_be_untold(weights, now) and self._has_untold_runs(now)

    def _may_be_untold(self, weights: Weights, now: float) -> bool:
        """Tell whether weights may be used by what nobody tells of.

        Guards against an unload of weights that are in use unknown to the
        holder: it waits for their runs, and the endpoint refuses all other
        orders meanwhile, for up to six seconds. It shows right after a
        takeover, before all instances have told of their uses, and for
        instances behind a cut, whose streams the endpoint goes on making.
        """
        if self._held_since is None or now - self._held_since < USES_TOLD_S:
            return True
        uses = self._uses.get(weights, {}).values()
        return any(use.running and now - use.told < STALE_USE_TTL_S for use in uses)

    def _has_untold_runs(self, now: float) -> bool:
        """Tell whether the endpoint runs more than instances tell of now."""
        return self._reported_runs > self.count_all_running(now)

    def _is_granted(self, weights: Weights, now: float) -> bool:
        """Tell whether a prompt got its turn of which nothing was told yet.

        Guards against an unload under a prompt whose instance was cut off
        right after its turn: it tells nothing at all any more, so that its
        turn counts for as long as a stream may take.
        """
        for user, granted in self._granted.get(weights, {}).items():
            told = self._heard.get(user, float("-inf")) > granted
            if now - granted < (GRANT_TTL_S if told else STALE_USE_TTL_S):
                return True
        return False

    def read_demand(self, weights: Weights, now: float) -> float:
        """Return how much weights are asked for."""
        demand = self._demand.get(weights)
        return demand.read(now) if demand else 0.0

    def prune(self, now: float) -> None:
        """Forget the demand and uses of what nobody asks for any more."""
        for weights, demand in list(self._demand.items()):
            if demand.read(now) < NO_DEMAND:
                del self._demand[weights]
        for weights, uses in list(self._uses.items()):
            if all(now - use.told > STALE_USE_TTL_S for use in uses.values()):
                del self._uses[weights]
        for weights in list(self._granted):
            if not self._is_granted(weights, now):
                del self._granted[weights]
        for user, heard in list(self._heard.items()):
            if now - heard > STALE_USE_TTL_S:
                del self._heard[user]
