"""Placement of attempts by the snapshots on the bus."""

from fescuekeel.components.gateway.admission import Admission
from fescuekeel.components.gateway.limits import Limits
from fescuekeel.components.gateway.ranks import Ranks
from fescuekeel.components.gateway.request import Placement
from fescuekeel.components.gateway.routing import Hints, choose
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, RetryReason
from fescuekeel.helpers.owners import choose_owner
from fescuekeel.messages import MemberView

__all__ = ["GatewayRouter"]

LEAST_FULL_HINT_S = 0.5


class GatewayRouter:
    """Choose endpoints with the pure ``routing`` and remember hints."""

    def __init__(self, instance: Instance, limits: Limits) -> None:
        self._instance = instance
        self._limits = limits
        self.hints = Hints()
        self._ranks = Ranks()

    def place(
        self, admission: Admission, request_id: str, tried: frozenset[str]
    ) -> Placement | None:
        """Choose an endpoint that was not tried yet."""
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
        """Return who owns an endpoint now."""
        view = self._instance.bus.latest(MemberView)
        if view is None:
            return None
        entry = view.endpoints_by_id.get(endpoint)
        if entry is None:
            return None
        return choose_owner(entry, view.members_by_id.values())

    def note_moved(
        self, placement: Placement, admission: Admission, endpoint: str
    ) -> None:
        """Remember for a moment where an adapter's requests go."""
        adapter, now = admission.policy.adapter, self._instance.now()
        self.hints.note_moved(placement.endpoint, endpoint, adapter, now)

    def note_sent(self, placement: Placement) -> None:
        """Count a request on its way to an endpoint."""
        self.hints.note_sent(placement.endpoint)

    def note_done(self, placement: Placement) -> None:
        """Count its end there."""
        self.hints.note_done(placement.endpoint)

    def note_answer(
        self, placement: Placement, admission: Admission, wait_s: float
    ) -> None:
        """Learn from an answer where a copy is and how long room took."""
        adapter = admission.policy.adapter
        now = self._instance.now()
        self.hints.note_ended(placement.endpoint, adapter, wait_s, now)

    def note_refusal(self, placement: Placement, failure: Failure) -> None:
        """Remember for a moment that an endpoint is full."""
        # "Too late" tells of the wait for a load, not of a want of room. Taken
        # for one it would send other adapters elsewhere, at a load each.
        if failure.kind is not ErrorKind.QUEUE_FULL:
            return
        retry_after_s = max(failure.retry_after_s, LEAST_FULL_HINT_S)
        now = self._instance.now()
        self.hints.note_full(placement.endpoint, retry_after_s, now)

    def may_retry(self, admission: Admission, reason: RetryReason) -> bool:
        """Spend from the service's retry budget."""
        return self._limits.may_retry(admission.policy, self._instance.now())
