"""Which version of an adapter a request may be served by."""

from dataclasses import dataclass, field

from fescuekeel.components.forward.const import VERSION_GRACE_S
from fescuekeel.helpers.published import Weights

__all__ = ["VersionClock"]


@dataclass(slots=True)
class VersionClock:
    """Remember when each new version was first seen here.

    For a short time after a version was named the one before it may serve, so
    that its callers need not wait for the load.
    """

    _newest: dict[Weights, int] = field(default_factory=dict)
    _before: dict[Weights, tuple[int, float]] = field(default_factory=dict)

    def update(self, versions_by_weights: dict[Weights, int], now: float) -> None:
        """Take the newest versions that are published."""
        for weights, version in versions_by_weights.items():
            known = self._newest.get(weights, 0)
            if version > known:
                self._newest[weights] = version
                self._before[weights] = (known, now)

    def get_newest(self, weights: Weights) -> int:
        """Return the newest version that was named, 0 if none was."""
        return self._newest.get(weights, 0)

    def get_oldest_allowed(self, weights: Weights, now: float) -> int:
        """Return the oldest version that may still serve."""
        before, seen = self._before.get(weights, (0, float("-inf")))
        if now - seen < VERSION_GRACE_S:
            return before
        return self.get_newest(weights)
