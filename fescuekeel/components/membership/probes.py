"""Which instance to probe next, and what became of a probe."""

from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random

__all__ = ["ProbeOrder", "Probes"]


class ProbeOrder:
    """Go round the members in an order that is shuffled for each round.

    Each member is probed once a round, so that the time until a death is
    seen has a bound, and all start their rounds at different members.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._round: list[str] = []

    def choose(self, ids: Collection[str]) -> str | None:
        """Return the next of the ids, or ``None`` when there are none."""
        if not ids:
            return None
        while True:
            if not self._round:
                self._round = sorted(ids)
                self._random.shuffle(self._round)
            target = self._round.pop()
            if target in ids:
                return target

    def sample(self, ids: Collection[str], count: int) -> list[str]:
        """Return some of the ids."""
        return self._random.sample(sorted(ids), min(count, len(ids)))


@dataclass(slots=True)
class Probes:
    """Hold the helpers still to be heard of, by the target of the probe.

    The set is empty while the direct probe is under way. Probes are numbered,
    so that a late failure is not taken for that of the next one.
    """

    helpers_by_target: dict[str, set[str]] = field(default_factory=dict)
    numbers_by_target: dict[str, int] = field(default_factory=dict)
    last_number: int = 0

    def begin(self, target: str) -> int | None:
        """Return the number of a new probe, or none while one is under way."""
        if target in self.helpers_by_target:
            return None
        self.last_number += 1
        self.helpers_by_target[target] = set()
        self.numbers_by_target[target] = self.last_number
        return self.last_number

    def clear(self) -> None:
        """Forget all probes."""
        self.helpers_by_target.clear()
        self.numbers_by_target.clear()

    def end(self, target: str) -> None:
        """End the probe of a target, if there is one."""
        self.helpers_by_target.pop(target, None)
        self.numbers_by_target.pop(target, None)

    def ask(self, target: str, helpers: Collection[str]) -> None:
        """Wait for helpers."""
        self.helpers_by_target[target] = set(helpers)

    def fail_helper(self, target: str, helper: str) -> bool:
        """Note that a helper could not reach it; true after the last one."""
        helpers = self.helpers_by_target.get(target)
        if not helpers:
            return False
        helpers.discard(helper)
        if helpers:
            return False
        self.end(target)
        return True

    def is_direct(self, target: str, number: int) -> bool:
        """Tell whether this direct probe is under way."""
        direct = self.helpers_by_target.get(target) == set()
        return direct and self.numbers_by_target[target] == number
