"""Keep to the limits of endpoints together with all instances."""

from typing import cast

from fescuekeel.components.allowance import (
    DOMAIN as ALLOWANCE_DOMAIN,
    Allowances,
    EndpointLimit,
    Permit,
    PermitNeed,
    PermitOutcome,
)
from fescuekeel.components.endpoints import (
    LIMIT_TTL_S,
    MAX_LIMITED_ENDPOINTS,
    MAX_REJECTION_LIMITS,
    LimitChange,
    NamedLimits,
    RejectionLimits,
)
from fescuekeel.components.forward.const import (
    MAX_NAMED_RATE_PER_S,
    MIN_ENDPOINT_RATE_PER_S,
)
from fescuekeel.components.gossip import (
    DOMAIN as GOSSIP_DOMAIN,
    Fact,
    Gossip,
    TopicLimits,
)
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event

__all__ = ["EndpointLimiter"]

LIMIT_TOPIC = "limit"
REJECTION_TOPIC = "rejection_limit"
MS_PER_S = 1000


class EndpointLimiter:
    """Share limits with peers, and take a part of them for each request."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._limits = NamedLimits()
        self._rejection_limits = RejectionLimits()
        components = instance.components_by_domain
        self._gossip = cast(Gossip, components[GOSSIP_DOMAIN])
        self._allowances = cast(Allowances, components[ALLOWANCE_DOMAIN])

    def start(self) -> None:
        """Register the topic and the gauge."""
        self._gossip.register(
            LIMIT_TOPIC,
            TopicLimits(LIMIT_TTL_S, MAX_LIMITED_ENDPOINTS),
            self._handle_fact,
        )
        self._gossip.register(
            REJECTION_TOPIC,
            TopicLimits(LIMIT_TTL_S, MAX_REJECTION_LIMITS),
            self._handle_rejection_fact,
        )
        metrics = self._instance.metrics
        metrics.add_gauge("endpoint_limit", self._limits.list_limited)
        metrics.add_gauge(
            "rejection_limit",
            lambda: self._rejection_limits.list_in_force(self._instance.now()),
        )

    # What endpoints name.

    def record_answer(
        self, endpoint: str, rate_per_s: float | None, sent_at: float
    ) -> None:
        """Read the limit of an answer to a request that was sent at a time."""
        if rate_per_s is not None and not 0 <= rate_per_s <= MAX_NAMED_RATE_PER_S:
            self._log_change(endpoint, rate_per_s, 0, "ignored")
            return
        now = self._instance.now()
        change = self._limits.read_answer(endpoint, rate_per_s, sent_at, now)
        if change is not None:
            payload = b"" if rate_per_s is None else repr(rate_per_s).encode()
            announced = self._gossip.get_rank(LIMIT_TOPIC, endpoint)
            rank = max(change.rank, announced + 1)
            self._gossip.publish(LIMIT_TOPIC, endpoint, rank, payload)

    def record_max_rejections(
        self, service: str, max_rejections_per_s: float | None
    ) -> None:
        """Read the rejection limit that an endpoint names in its answer."""
        if max_rejections_per_s is None:
            return
        if not 0 <= max_rejections_per_s <= MAX_NAMED_RATE_PER_S:
            self._log_rejections(service, max_rejections_per_s, 0, "ignored")
            return
        if self._rejection_limits.record(
            service, max_rejections_per_s, self._instance.now()
        ):
            rank = self._gossip.get_rank(REJECTION_TOPIC, service) + 1
            payload = repr(max_rejections_per_s).encode()
            self._gossip.publish(REJECTION_TOPIC, service, rank, payload)
            self._log_rejections(service, max_rejections_per_s, 0, "in_force")

    def _handle_rejection_fact(self, fact: Fact) -> None:
        max_rejections_per_s = float(fact.payload)
        if self._rejection_limits.apply(
            fact.key, max_rejections_per_s, fact.created_at
        ):
            age_ms = round((self._instance.now() - fact.created_at) * MS_PER_S)
            self._log_rejections(fact.key, max_rejections_per_s, age_ms, "in_force")

    def _log_rejections(
        self, service: str, max_rejections_per_s: float, age_ms: int, outcome: str
    ) -> None:
        self._instance.metrics.count(f"rejection_limit.{outcome}")
        log_event(
            "rejection_limit_changed",
            service=service,
            max_rejections_per_s=max_rejections_per_s,
            age_ms=age_ms,
            outcome=outcome,
        )

    def _handle_fact(self, fact: Fact) -> None:
        rate_per_s = float(fact.payload) if fact.payload else None
        now = self._instance.now()
        if self._limits.apply(LimitChange(fact.key, rate_per_s, fact.rank, now)):
            age_ms = round((now - fact.created_at) * MS_PER_S)
            self._log_change(fact.key, rate_per_s, age_ms, "in_force")

    def _log_change(
        self, endpoint: str, rate_per_s: float | None, age_ms: int, outcome: str
    ) -> None:
        self._instance.metrics.count(f"endpoint_limit.{outcome}")
        log_event(
            "endpoint_limit_changed",
            endpoint=endpoint,
            rate_per_s="none" if rate_per_s is None else rate_per_s,
            age_ms=age_ms,
            outcome=outcome,
        )

    # Requests.

    def is_limited(self, endpoint: str) -> bool:
        """Return whether requests to an endpoint need a part of its limit."""
        return self._limits.get_rate(endpoint) is not None

    async def take(self, endpoint: str) -> float:
        """Take one request from an endpoint's limit, if it has one.

        Returns zero, or how many seconds to wait until there may be room.
        """
        rate_per_s = self._limits.get_rate(endpoint)
        if rate_per_s is None:
            return 0.0
        # An endpoint without requests could not announce the end.
        rate_per_s = max(rate_per_s, MIN_ENDPOINT_RATE_PER_S)
        wait_s = await self._allowances.take(EndpointLimit(endpoint, rate_per_s))
        outcome = "refused" if wait_s else "taken"
        self._instance.metrics.count(f"endpoint_limit.{outcome}")
        return wait_s

    def refund(self, endpoint: str) -> None:
        """Give back what a request has taken that is not sent."""
        rate_per_s = self._limits.get_rate(endpoint)
        if rate_per_s is not None:
            self._allowances.refund(EndpointLimit(endpoint, rate_per_s), 1.0)

    # Permits for endpoints with a rejection limit.

    def get_max_rejections_per_s(self, service: str) -> float | None:
        """Return the rejections that a service's endpoints stand, if named."""
        return self._rejection_limits.get_max_rejections_per_s(
            service, self._instance.now()
        )

    async def take_permit(self, need: PermitNeed) -> Permit | float:
        """Take a permit; without one, return how many seconds to wait."""
        return await self._allowances.permits.take(need)

    def end_permit(self, permit: Permit, outcome: PermitOutcome) -> None:
        """Return a permit, and report how its request ended."""
        self._allowances.permits.end(permit, outcome)

    def report_rejected(self, endpoint: str) -> None:
        """Tell of a request without a permit that was rejected."""
        self._allowances.permits.report_rejected(endpoint)
