"""Upper bound on the age of the catalog that this instance has."""

from dataclasses import dataclass

__all__ = ["MAX_AGE_S", "Freshness"]

# Ages are capped here.
MAX_AGE_S = 3600.0


@dataclass(slots=True)
class Freshness:
    """Time up to which all published changes are known.

    ``confirmed_at`` is the latest time at which the store is known to have had
    no change that is unknown here: when a request was sent, less the age given
    in its response. The time at which the response arrived is not used, since
    it may have been delayed. The clock must advance during suspend.
    ``apparent_at`` is the same by messages of peers, which may be delayed.

    >>> freshness = Freshness()
    >>> freshness.record_confirmed(asked=7.0, age_s=1.0)
    >>> freshness.record_apparent(8.0)
    >>> freshness.read_age_s(now=10.0), freshness.read_apparent_age_s(now=10.0)
    (4.0, 2.0)
    """

    confirmed_at: float = float("-inf")
    apparent_at: float = float("-inf")

    def record_confirmed(self, asked: float, age_s: float) -> None:
        """Apply the response to a request that was sent at ``asked``."""
        self.confirmed_at = max(self.confirmed_at, asked - age_s)

    def record_apparent(self, at: float) -> None:
        """Apply a message of a peer that has no newer revision."""
        self.apparent_at = max(self.apparent_at, at)

    def read_apparent_age_s(self, now: float) -> float:
        """Return the age by store and peers, in seconds.

        Not for decisions that a delayed message must not change.
        """
        return min(MAX_AGE_S, now - max(self.confirmed_at, self.apparent_at))

    def read_age_s(self, now: float) -> float:
        """Return the maximum age of what is known, in seconds."""
        return min(MAX_AGE_S, now - self.confirmed_at)
