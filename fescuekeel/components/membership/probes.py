"""The order of probes, and the probes in progress."""

from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random

__all__ = ["PendingProbes", "ProbeOrder"]


class ProbeOrder:
    """Probe members round-robin, in an order shuffled for each round.

    Each member is probed once a round, which bounds the time to detect a
    failure. Shuffling keeps instances from probing the same target at once.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._round: list[str] = []

    def choose(self, ids: Collection[str]) -> str | None:
        """Return the next id to probe, or ``None`` if there are none."""
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
        """Return up to ``count`` random ids."""
        return self._random.sample(sorted(ids), min(count, len(ids)))


@dataclass(slots=True)
class PendingProbes:
    """Track the probe in progress of each target.

    ``helpers_by_target`` holds the helpers that have not reported yet; the
    set is empty during the direct probe. Probes are numbered, so that a late
    failure is not attributed to the next probe.
    """

    helpers_by_target: dict[str, set[str]] = field(default_factory=dict)
    numbers_by_target: dict[str, int] = field(default_factory=dict)
    last_number: int = 0

    def begin(self, target: str) -> int | None:
        """Return the number of a new probe, ``None`` if one is in progress."""
        if target in self.helpers_by_target:
            return None
        self.last_number += 1
        self.helpers_by_target[target] = set()
        self.numbers_by_target[target] = self.last_number
        return self.last_number

    def clear(self) -> None:
        """Drop all probes."""
        self.helpers_by_target.clear()
        self.numbers_by_target.clear()

    def end(self, target: str) -> None:
        """End the probe of a target, if there is one."""
        self.helpers_by_target.pop(target, None)
        self.numbers_by_target.pop(target, None)

    def begin_indirect(self, target: str, helpers: Collection[str]) -> None:
        """Start the indirect probe, and wait for these helpers."""
        self.helpers_by_target[target] = set(helpers)

    def fail_helper(self, target: str, helper: str) -> bool:
        """Record that a helper failed; return whether it was the last one."""
        helpers = self.helpers_by_target.get(target)
        if not helpers:
            return False
        helpers.discard(helper)
        if helpers:
            return False
        self.end(target)
        return True

    def is_direct_pending(self, target: str, number: int) -> bool:
        """Return whether this direct probe is in progress."""
        direct = self.helpers_by_target.get(target) == set()
        return direct and self.numbers_by_target[target] == number
