"""Track the rate limits that endpoints name in their answers; pure.

Instances announce what they have read. Of two that know the same, either may
see the next change first, so each change gets the next rank.
An answer only changes what is known if its request was sent afterwards: it may
have been on its way for longer than the news of a change.
"""

from dataclasses import dataclass, field

from fescuekeel.components.endpoints.const import LIMIT_REFRESH_S, MAX_LIMITED_ENDPOINTS

__all__ = ["LimitChange", "NamedLimits"]


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A rate that an endpoint has named, ``None`` if it names none any more.

    ``known_since`` is when this instance learned of it, on its clock.
    """

    endpoint: str
    rate_per_s: float | None
    rank: int
    known_since: float

    @property
    def sort_key(self) -> tuple[int, bool, float]:
        """Order changes; of one rank the lowest rate wins."""
        rate = self.rate_per_s
        return self.rank, rate is not None, -rate if rate is not None else 0.0


@dataclass(slots=True)
class NamedLimits:
    """The limits of all endpoints, as far as they are known here.

    >>> limits = NamedLimits()
    >>> change = limits.read_answer("e1", 3.0, sent_at=1.0, now=1.1)
    >>> limits.apply(change)
    True
    >>> limits.get_rate("e1"), limits.get_rate("e2")
    (3.0, None)
    >>> limits.read_answer("e1", None, sent_at=1.0, now=1.2) is None
    True
    >>> limits.apply(limits.read_answer("e1", None, sent_at=1.3, now=1.4))
    True
    >>> limits.get_rate("e1") is None
    True
    """

    _changes_by_endpoint: dict[str, LimitChange] = field(default_factory=dict)

    def get_rate(self, endpoint: str) -> float | None:
        """Return the limit in force in requests per second, if any."""
        change = self._changes_by_endpoint.get(endpoint)
        return None if change is None else change.rate_per_s

    def list_limited(self) -> dict[str, float]:
        """Return the limits in force by endpoint."""
        return {
            endpoint: change.rate_per_s
            for endpoint, change in self._changes_by_endpoint.items()
            if change.rate_per_s is not None
        }

    def read_answer(
        self, endpoint: str, rate_per_s: float | None, sent_at: float, now: float
    ) -> LimitChange | None:
        """Return the change that an answer shows, ``None`` if there is none.

        ``sent_at`` is when its request was sent.
        """
        known = self._changes_by_endpoint.get(endpoint)
        if known is None:
            if rate_per_s is None:
                return None
            return LimitChange(endpoint, rate_per_s, 1, now)
        if sent_at < known.known_since:
            return None
        if known.rate_per_s == rate_per_s and not self._needs_refresh(known, now):
            return None
        return LimitChange(endpoint, rate_per_s, known.rank + 1, now)

    def _needs_refresh(self, known: LimitChange, now: float) -> bool:
        """Return whether to announce a limit again, as it expires at peers."""
        is_old = now - known.known_since >= LIMIT_REFRESH_S
        return is_old and known.rate_per_s is not None

    def apply(self, change: LimitChange) -> bool:
        """Apply a change of any instance; return false if it is outdated."""
        known = self._changes_by_endpoint.get(change.endpoint)
        if known is not None and change.sort_key <= known.sort_key:
            return False
        changes = self._changes_by_endpoint
        if known is None and len(changes) >= MAX_LIMITED_ENDPOINTS:
            del changes[next(iter(changes))]
        changes[change.endpoint] = change
        return True
