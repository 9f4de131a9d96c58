"""Upper bound on the age of the catalog that this instance has."""

from dataclasses import dataclass

__all__ = ["Freshness"]

# Ages are capped here.
MAX_AGE_S = 3600.0


@dataclass(slots=True)
class Freshness:
    """Time up to which all published changes are known.

    ``confirmed_at`` is the latest time at which the store is known to have had
    no change that is unknown here: when a request was sent, less the age given
    in its response. The time at which the response arrived is not used, since
    it may have been delayed. The clock must advance during suspend.

    >>> freshness = Freshness()
    >>> freshness.record_confirmed(asked=7.0, age_s=1.0)
    >>> freshness.read_age_s(now=10.0)
    4.0
    """

    confirmed_at: float = float("-inf")

    def record_confirmed(self, asked: float, age_s: float) -> None:
        """Apply the response to a request that was sent at ``asked``."""
        self.confirmed_at = max(self.confirmed_at, asked - age_s)

    def read_age_s(self, now: float) -> float:
        """Return the maximum age of what is known, in seconds."""
        return min(MAX_AGE_S, now - self.confirmed_at)
