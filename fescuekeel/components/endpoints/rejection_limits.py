"""Track services whose endpoints fall over when they reject too many; pure.

All endpoints of a service are taken for alike: one that has just started names
nothing before its first answer, which would be too late.
"""

from dataclasses import dataclass, field

from fescuekeel.components.endpoints.const import (
    MAX_REJECTION_LIMITS,
    REJECTION_LIMIT_REFRESH_S,
    REJECTION_LIMIT_TTL_S,
)

__all__ = ["RejectionLimits"]


@dataclass(frozen=True, slots=True)
class Named:
    """The rejections per second that a service's endpoints stand."""

    max_rejections_per_s: float
    named_at: float


@dataclass(slots=True)
class RejectionLimits:
    """The numbers that endpoints have named recently, at any instance.

    >>> services = RejectionLimits()
    >>> services.record("s", 4.0, now=1.0), services.record("s", 4.0, now=1.5)
    (True, False)
    >>> services.get_max_rejections_per_s("s", now=2.0)
    4.0
    >>> later = 1.5 + REJECTION_LIMIT_TTL_S
    >>> services.get_max_rejections_per_s("s", now=later) is None
    True
    """

    _named_by_service: dict[str, Named] = field(default_factory=dict)
    _announced_at_by_service: dict[str, float] = field(default_factory=dict)

    def record(self, service: str, max_rejections_per_s: float, now: float) -> bool:
        """Record a number; return whether to announce it to peers."""
        known = self._named_by_service.get(service)
        self._set(service, Named(max_rejections_per_s, now))
        is_new = known is None or known.max_rejections_per_s != max_rejections_per_s
        announced_at = self._announced_at_by_service.get(service, float("-inf"))
        if not is_new and now - announced_at < REJECTION_LIMIT_REFRESH_S:
            return False
        self._announced_at_by_service[service] = now
        return True

    def apply(self, service: str, max_rejections_per_s: float, named_at: float) -> bool:
        """Apply a peer's number; return whether it changes the known one."""
        known = self._named_by_service.get(service)
        if known is not None and known.named_at >= named_at:
            return False
        announced_at = self._announced_at_by_service.get(service, named_at)
        self._announced_at_by_service[service] = max(announced_at, named_at)
        self._set(service, Named(max_rejections_per_s, named_at))
        return known is None or known.max_rejections_per_s != max_rejections_per_s

    def _set(self, service: str, named: Named) -> None:
        services = self._named_by_service
        if service not in services and len(services) >= MAX_REJECTION_LIMITS:
            oldest = next(iter(services))
            del services[oldest]
            self._announced_at_by_service.pop(oldest, None)
        services[service] = named

    def get_max_rejections_per_s(self, service: str, now: float) -> float | None:
        """Return the rejections that endpoints stand, if any are named."""
        named = self._named_by_service.get(service)
        if named is None or now - named.named_at >= REJECTION_LIMIT_TTL_S:
            return None
        return named.max_rejections_per_s

    def list_in_force(self, now: float) -> dict[str, float]:
        """Return the numbers in force by service."""
        return {
            service: named.max_rejections_per_s
            for service, named in self._named_by_service.items()
            if now - named.named_at < REJECTION_LIMIT_TTL_S
        }
