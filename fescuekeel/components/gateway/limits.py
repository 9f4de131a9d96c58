"""Rate limits, concurrency limits and retry budgets, without I/O.

Each entry instance counts only its own requests and enforces an equal share
of every limit, which avoids coordination. This relies on the load balancer
spreading callers evenly over the instances.
"""

import math
from dataclasses import dataclass, field

from fescuekeel.components.tree.model import Limit, Policy
from fescuekeel.errors import ErrorKind, Failure

__all__ = ["Limits"]

BURST_S = 1.0
IN_FLIGHT_RETRY_AFTER_S = 0.5
RETRY_WINDOW_S = 10.0
# Retries allowed per window even to a service with little traffic.
MIN_RETRIES = 3.0
MAX_SCOPES = 10_000
SCOPE_IDLE_S = 60.0


@dataclass(slots=True)
class ScopeUsage:
    """Usage of one limit; ``tokens`` is ``None`` for a full token bucket."""

    tokens: float | None = None
    updated_at: float = 0.0
    in_flight: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Exponentially decaying counts of a service's requests and retries."""

    requests: float = 0.0
    retries: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Decay both counts by the time since the last update."""
        share = math.exp(-max(0.0, now - self.updated_at) / RETRY_WINDOW_S)
        self.requests *= share
        self.retries *= share
        self.updated_at = now


@dataclass(slots=True)
class Limits:
    """Decide on admission and retries; times are monotonic seconds.

    ``instances`` is the number of entry instances that share each limit.

    >>> from fescuekeel.components.tree.model import Pool, PoolKind
    >>> from fescuekeel.messages import AdapterRef
    >>> policy = Policy(
    ...     "a", "b", Pool("p", PoolKind.PLAIN), 0, 1.0, True, 1.0, 1.0, 1,
    ...     0.0, 0.1, 0, AdapterRef(), (Limit("a/b", max_in_flight=1),),
    ... )
    >>> limits = Limits()
    >>> limits.admit(policy, now=0.0)
    >>> limits.admit(policy, now=0.0).kind.value
    'rate_limited'
    >>> limits.release(policy)
    >>> limits.admit(policy, now=0.0)
    """

    instances: int = 1
    _usage_by_scope: dict[str, ScopeUsage] = field(default_factory=dict)
    _budgets_by_service: dict[str, RetryBudget] = field(default_factory=dict)

    def admit(self, policy: Policy, now: float) -> Failure | None:
        """Count a request as in flight, or reject it and count nothing.

        The caller must call ``release`` once for each admitted request, with
        the same policy.
        """
        for limit in policy.limits:
            failure = self._check(limit, now)
            if failure is not None:
                return failure
        for limit in policy.limits:
            state = self._usage_by_scope[limit.scope]
            state.in_flight += 1
            if state.tokens is not None:
                state.tokens -= 1
        budget = self._get_budget(policy, now)
        budget.requests += 1
        return None

    def release(self, policy: Policy) -> None:
        """Count a request as ended, whatever the outcome."""
        for limit in policy.limits:
            state = self._usage_by_scope.get(limit.scope)
            if state is not None and state.in_flight > 0:
                state.in_flight -= 1

    def may_retry(self, policy: Policy, now: float) -> bool:
        """Take one retry from the service's budget, if any is left.

        Guards against retry storms: the budget limits retries to a share of
        the traffic when endpoints fail.
        """
        if policy.retry_share <= 0:
            return False
        budget = self._get_budget(policy, now)
        allowed = MIN_RETRIES + policy.retry_share * budget.requests
        if budget.retries + 1 > allowed:
            return False
        budget.retries += 1
        return True

    def _check(self, limit: Limit, now: float) -> Failure | None:
        state = self._get_usage(limit.scope, now)
        share = max(1, self.instances)
        allowed = math.ceil(limit.max_in_flight / share)
        if limit.max_in_flight and state.in_flight >= allowed:
            detail = f"{limit.scope}: at most {allowed} requests in flight per instance"
            return Failure(
                ErrorKind.RATE_LIMITED, detail, retry_after_s=IN_FLIGHT_RETRY_AFTER_S
            )
        self._refill(state, limit.rate_per_s / share, now)
        if state.tokens is None or state.tokens >= 1:
            return None
        wait_s = (1 - state.tokens) * share / limit.rate_per_s
        detail = f"{limit.scope}: limit of {limit.rate_per_s:g} requests per second"
        return Failure(ErrorKind.RATE_LIMITED, detail, retry_after_s=wait_s)

    def _refill(self, state: ScopeUsage, rate_per_s: float, now: float) -> None:
        elapsed_s = max(0.0, now - state.updated_at)
        state.updated_at = now
        if rate_per_s <= 0:
            state.tokens = None
            return
        capacity = max(1.0, rate_per_s * BURST_S)
        if state.tokens is None:
            state.tokens = capacity
            return
        state.tokens = min(capacity, state.tokens + elapsed_s * rate_per_s)

    def _get_usage(self, scope: str, now: float) -> ScopeUsage:
        state = self._usage_by_scope.get(scope)
        if state is None:
            if len(self._usage_by_scope) >= MAX_SCOPES:
                self._drop_idle_scopes(now)
            state = self._usage_by_scope[scope] = ScopeUsage(updated_at=now)
        return state

    def _drop_idle_scopes(self, now: float) -> None:
        self._usage_by_scope = {
            scope: state
            for scope, state in self._usage_by_scope.items()
            if state.in_flight or now - state.updated_at < SCOPE_IDLE_S
        }

    def _get_budget(self, policy: Policy, now: float) -> RetryBudget:
        key = f"{policy.shop}/{policy.service}"
        budget = self._budgets_by_service.get(key)
        if budget is None:
            budget = self._budgets_by_service[key] = RetryBudget(updated_at=now)
        budget.decay(now)
        return budget
