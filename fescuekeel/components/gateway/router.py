"""Routing of attempts with the latest membership view and routing hints."""

from typing import cast

from fescuekeel.components.gateway.admission import Admission
from fescuekeel.components.gateway.limits import Limits
from fescuekeel.components.gateway.ranking_cache import RankingCache
from fescuekeel.components.gateway.request import Placement
from fescuekeel.components.gateway.routing import Hints, choose
from fescuekeel.components.quarantine import DOMAIN as QUARANTINE_DOMAIN, Quarantine
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, RetryReason
from fescuekeel.helpers.fingerprint import fingerprint_submit
from fescuekeel.helpers.owners import choose_owner
from fescuekeel.messages import MemberView, Submit

__all__ = ["GatewayRouter"]

MIN_FULL_HINT_S = 0.5


class GatewayRouter:
    """Choose endpoints for requests and record routing hints."""

    def __init__(self, instance: Instance, limits: Limits) -> None:
        self._instance = instance
        self._limits = limits
        self.hints = Hints()
        self._ranks = RankingCache()
        self._quarantine = cast(
            Quarantine, instance.components_by_domain[QUARANTINE_DOMAIN]
        )

    def place(
        self, admission: Admission, request_id: str, tried: frozenset[str]
    ) -> Placement | None:
        """Choose an endpoint that has not rejected this request yet."""
        view = self._instance.bus.latest(MemberView)
        if view is None:
            return None
        policy = admission.policy
        choice = choose(
            policy.pool.name,
            policy.adapter,
            request_id,
            view.endpoints_by_id,
            view.members_by_id,
            self.hints,
            self._instance.now(),
            load_s=policy.pool.load_s,
            tried=tried,
            rank=self._ranks.get,
        )
        if choice is None:
            return None
        self._instance.metrics.count(f"route.{choice.reason}")
        return Placement(choice.endpoint, choice.owner)

    def find_owner(self, endpoint: str) -> str | None:
        """Return the id of the instance that owns an endpoint now."""
        view = self._instance.bus.latest(MemberView)
        if view is None:
            return None
        entry = view.endpoints_by_id.get(endpoint)
        if entry is None:
            return None
        return choose_owner(entry, view.members_by_id.values())

    def record_moved(
        self, placement: Placement, admission: Admission, endpoint: str
    ) -> None:
        """Record that adapter requests are redirected to ``endpoint``."""
        adapter, now = admission.policy.adapter, self._instance.now()
        self.hints.record_moved(placement.endpoint, endpoint, adapter, now)

    def record_sent(self, placement: Placement) -> None:
        """Count a request as in flight at an endpoint."""
        self.hints.record_sent(placement.endpoint)

    def record_done(self, placement: Placement) -> None:
        """Count a request at an endpoint as ended."""
        self.hints.record_done(placement.endpoint)

    def record_answer(
        self, placement: Placement, admission: Admission, wait_s: float
    ) -> None:
        """Record that the adapter is loaded, and the wait without the load."""
        adapter = admission.policy.adapter
        now = self._instance.now()
        self.hints.record_answer(placement.endpoint, adapter, wait_s, now)

    def record_refusal(self, placement: Placement, failure: Failure) -> None:
        """Record that an endpoint rejected a request for a full queue."""
        # "Too late" reports the wait for an adapter load, not a full queue;
        # treating it as one would cause needless loads on other endpoints.
        if failure.kind is not ErrorKind.QUEUE_FULL:
            return
        retry_after_s = max(failure.retry_after_s, MIN_FULL_HINT_S)
        now = self._instance.now()
        self.hints.record_full(placement.endpoint, retry_after_s, now)

    def find_quarantine_failure(
        self, submit: Submit, may_have_run: bool
    ) -> Failure | None:
        """Return a failure if the request has crashed several endpoints."""
        if self._quarantine.is_empty:
            return None
        return self._quarantine.check(fingerprint_submit(submit), may_have_run)

    def may_retry(self, admission: Admission, reason: RetryReason) -> bool:
        """Take one retry from the service's retry budget, if any is left."""
        return self._limits.may_retry(admission.policy, self._instance.now())
