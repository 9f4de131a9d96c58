"""Limits on what a shop may ask for, and budgets of retries; pure decisions.

An entry instance counts only its own callers, so that a limit costs no
message. The balancer spreads callers evenly over the instances, and each one
enforces its share of a limit.
"""

import math
from dataclasses import dataclass, field

from fescuekeel.components.tree.model import Limit, Policy
from fescuekeel.errors import ErrorKind, Failure

__all__ = ["Limits"]

BURST_S = 1.0
IN_FLIGHT_RETRY_S = 0.5
RETRY_WINDOW_S = 10.0
# A service with little traffic may still retry this often in a window.
RETRY_FLOOR = 3.0
MAX_SCOPES = 10_000
IDLE_S = 60.0


@dataclass(slots=True)
class ScopeState:
    """What is used of one level's limit; ``tokens`` is none when full."""

    tokens: float | None = None
    seen: float = 0.0
    in_flight: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Requests and retries of one service, both fading over the window."""

    requests: float = 0.0
    retries: float = 0.0
    seen: float = 0.0

    def fade(self, now: float) -> None:
        """Let what is long past count less."""
        share = math.exp(-max(0.0, now - self.seen) / RETRY_WINDOW_S)
        self.requests *= share
        self.retries *= share
        self.seen = now


@dataclass(slots=True)
class Limits:
    """Decide on admission and retries; times are monotonic seconds.

    ``instances`` is how many entry instances share each limit.

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
    _states_by_scope: dict[str, ScopeState] = field(default_factory=dict)
    _budgets_by_service: dict[str, RetryBudget] = field(default_factory=dict)

    def admit(self, policy: Policy, now: float) -> Failure | None:
        """Count a request in, or refuse it and count nothing.

        Each request that is admitted is released once, with the same policy.
        """
        for limit in policy.limits:
            failure = self._check(limit, now)
            if failure is not None:
                return failure
        for limit in policy.limits:
            state = self._states_by_scope[limit.scope]
            state.in_flight += 1
            if state.tokens is not None:
                state.tokens -= 1
        budget = self._get_budget(policy, now)
        budget.requests += 1
        return None

    def release(self, policy: Policy) -> None:
        """Count a request out, however it ended."""
        for limit in policy.limits:
            state = self._states_by_scope.get(limit.scope)
            if state is not None and state.in_flight > 0:
                state.in_flight -= 1

    def may_retry(self, policy: Policy, now: float) -> bool:
        """Take one retry from the service's budget, if any is left.

        Guards against retry storms: when endpoints fail, each request would
        be sent several times and keep them overloaded. The budget bounds the
        extra work to a share of the traffic.
        """
        if policy.retry_share <= 0:
            return False
        budget = self._get_budget(policy, now)
        allowed = RETRY_FLOOR + policy.retry_share * budget.requests
        if budget.retries + 1 > allowed:
            return False
        budget.retries += 1
        return True

    def _check(self, limit: Limit, now: float) -> Failure | None:
        state = self._get_state(limit.scope, now)
        share = max(1, self.instances)
        room = math.ceil(limit.max_in_flight / share)
        if limit.max_in_flight and state.in_flight >= room:
            detail = f"{limit.scope}: {room} requests in flight here"
            return Failure(
                ErrorKind.RATE_LIMITED, detail, retry_after_s=IN_FLIGHT_RETRY_S
            )
        self._refill(state, limit.rate_per_s / share, now)
        if state.tokens is None or state.tokens >= 1:
            return None
        wait_s = (1 - state.tokens) * share / limit.rate_per_s
        detail = f"{limit.scope}: {limit.rate_per_s:g} requests a second"
        return Failure(ErrorKind.RATE_LIMITED, detail, retry_after_s=wait_s)

    def _refill(self, state: ScopeState, rate_per_s: float, now: float) -> None:
        passed_s = max(0.0, now - state.seen)
        state.seen = now
        if rate_per_s <= 0:
            state.tokens = None
            return
        capacity = max(1.0, rate_per_s * BURST_S)
        if state.tokens is None:
            state.tokens = capacity
            return
        state.tokens = min(capacity, state.tokens + passed_s * rate_per_s)

    def _get_state(self, scope: str, now: float) -> ScopeState:
        state = self._states_by_scope.get(scope)
        if state is None:
            if len(self._states_by_scope) >= MAX_SCOPES:
                self._forget_idle(now)
            state = self._states_by_scope[scope] = ScopeState(seen=now)
        return state

    def _forget_idle(self, now: float) -> None:
        self._states_by_scope = {
            scope: state
            for scope, state in self._states_by_scope.items()
            if state.in_flight or now - state.seen < IDLE_S
        }

    def _get_budget(self, policy: Policy, now: float) -> RetryBudget:
        key = f"{policy.shop}/{policy.service}"
        budget = self._budgets_by_service.get(key)
        if budget is None:
            budget = self._budgets_by_service[key] = RetryBudget(seen=now)
        budget.fade(now)
        return budget
