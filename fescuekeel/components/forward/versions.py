"""The adapter versions that may serve requests."""

from dataclasses import dataclass, field

from fescuekeel.components.forward.const import VERSION_GRACE_S
from fescuekeel.helpers.published import Weights

__all__ = ["VersionTracker"]


@dataclass(slots=True)
class VersionTracker:
    """Track when each new version was first seen.

    For a short time after a version is published, the previous one may serve,
    so that callers need not wait for the load.
    """

    _newest_by_weights: dict[Weights, int] = field(default_factory=dict)
    _previous_by_weights: dict[Weights, tuple[int, float]] = field(default_factory=dict)

    def update(self, versions_by_weights: dict[Weights, int], now: float) -> None:
        """Apply the newest published versions."""
        for weights, version in versions_by_weights.items():
            known = self._newest_by_weights.get(weights, 0)
            if version > known:
                self._newest_by_weights[weights] = version
                self._previous_by_weights[weights] = (known, now)

    def get_newest(self, weights: Weights) -> int:
        """Return the newest published version, 0 if there is none."""
        return self._newest_by_weights.get(weights, 0)

    def get_oldest_allowed(self, weights: Weights, now: float) -> int:
        """Return the oldest version that may still serve."""
        previous, seen_at = self._previous_by_weights.get(weights, (0, float("-inf")))
        if now - seen_at < VERSION_GRACE_S:
            return previous
        return self.get_newest(weights)
