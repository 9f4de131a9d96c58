"""Arrival of requests, and the choice of the endpoint that loads."""

from collections.abc import Callable
from typing import Protocol

from returns.pipeline import is_successful

from fescuekeel.components.owner import model
from fescuekeel.components.owner.const import COPY_TIMEOUT_S
from fescuekeel.components.owner.requests import Requests
from fescuekeel.components.owner.scheduling import copies
from fescuekeel.components.owner.scheduling.decision import EndpointScheduler
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.endpoint_ranking import find_alternate, rank_reachable_endpoints
from fescuekeel.helpers.owners import choose_owner
from fescuekeel.helpers.peer_link import PeerLink
from fescuekeel.messages import AdapterRef, CopyAnswer, CopyAsk, MemberView

__all__ = ["Arrivals", "Host", "make_copy_answer"]


class Host(Protocol):
    """The parts of the endpoint's owner that ``Arrivals`` uses."""

    instance: Instance
    name: str
    endpoint: str
    assignment: model.EndpointAssignment
    link: PeerLink
    scheduler: EndpointScheduler
    requests: Requests

    def post(self, message: object) -> None:
        """Post a message to the owner's mailbox."""

    def find_refusal(self) -> ErrorKind | None:
        """Return why new requests are refused now, or ``None``."""


class Arrivals:
    """Accept requests, or defer them until the endpoint of a load is known.

    A request that needs a load waits for the owner of the adapter's other
    candidate endpoint. Meanwhile it is neither queued nor accepted, so that
    an entry that cancels it knows that it did not run.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self._waiting_by_adapter: dict[AdapterRef, list[model.SubmitReceived]] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no request is deferred."""
        return not self._waiting_by_adapter

    def submit(self, received: model.SubmitReceived) -> None:
        """Refuse, defer or accept a request."""
        # A new attempt replaces a deferred earlier one.
        self.cancel(received.submit.request_id)
        kind = self.host.find_refusal()
        if kind is not None:
            self.host.requests.refuse_submit(received, kind)
            return
        if not self._defer(received):
            self.host.requests.accept(received)

    def handle_copy_answer(self, answered: model.CopyAnswered) -> None:
        """Accept or redirect the requests that waited for this answer."""
        answer = answered.answer
        here, there = self.describe_candidate(answered.adapter), _parse_answer(answer)
        moves = here is not None and copies.should_move(here, there)
        for received in self._waiting_by_adapter.pop(answered.adapter, []):
            kind = self.host.find_refusal()
            if kind is not None:
                self.host.requests.refuse_submit(received, kind)
            elif moves and answer is not None:
                self.host.requests.redirect_submit(received, answer.endpoint)
            else:
                self.host.requests.accept(received)

    def cancel(self, request_id: str, attempt: int | None = None) -> None:
        """Drop a deferred request that its entry has cancelled."""

        def matches(received: model.SubmitReceived) -> bool:
            same = received.submit.request_id == request_id
            return same and attempt in (None, received.submit.attempt)

        self._remove_waiting(matches)

    def handle_entry_lost(self, entry: str) -> None:
        """Refuse the deferred requests of a lost entry."""
        for received in self._remove_waiting(
            lambda received: received.question.sender == entry
        ):
            self.host.requests.refuse_submit(received, ErrorKind.NOT_OWNER)

    def describe_candidate(self, adapter: AdapterRef) -> copies.LoadCandidate | None:
        """Return this endpoint's state as a load candidate for an adapter."""
        now = self.host.instance.now()
        return copies.look(self.host.scheduler, adapter, now)

    def _defer(self, received: model.SubmitReceived) -> bool:
        """Defer a request that needs a load; return whether it is deferred."""
        adapter = received.submit.adapter
        if received.submit.moved or received.submit.resume or not adapter:
            return False
        here = self.describe_candidate(adapter)
        if here is None or here.held:
            return False
        waiting = self._waiting_by_adapter.get(adapter)
        if waiting is not None:
            waiting.append(received)
            return True
        ask = self._make_ask(adapter)
        if ask is None:
            return False
        self._waiting_by_adapter[adapter] = [received]
        self.host.instance.spawn(self._ask(*ask), f"{self.host.name}.copy")
        return True

    def _remove_waiting(
        self, matches: Callable[[model.SubmitReceived], bool]
    ) -> list[model.SubmitReceived]:
        taken = []
        for adapter, waiting in self._waiting_by_adapter.items():
            taken += [received for received in waiting if matches(received)]
            self._waiting_by_adapter[adapter] = [
                received for received in waiting if not matches(received)
            ]
        return taken

    def _make_ask(self, adapter: AdapterRef) -> tuple[str, CopyAsk] | None:
        view = self.host.instance.bus.latest(MemberView)
        if view is None:
            return None
        endpoints, members = view.endpoints_by_id, view.members_by_id
        ranked = rank_reachable_endpoints(
            self.host.assignment.pool.name, adapter, endpoints, members
        )
        other = find_alternate(self.host.endpoint, ranked)
        if other is None:
            return None
        owner = choose_owner(endpoints[other], members.values())
        return None if owner is None else (owner, CopyAsk(other, adapter))

    async def _ask(self, owner: str, ask: CopyAsk) -> None:
        metrics = self.host.instance.metrics
        metrics.count("owner.copy_asked")
        answer = None
        try:
            result = await self.host.link.ask(owner, ask, COPY_TIMEOUT_S)
            answered = result.unwrap() if is_successful(result) else None
            answer = answered if isinstance(answered, CopyAnswer) else None
        finally:
            # Deferred requests must be released on any error.
            self.host.post(model.CopyAnswered(ask.adapter, answer))
        if answer is None:
            metrics.count("owner.copy_unanswered")


def make_copy_answer(
    ask: CopyAsk, candidate: copies.LoadCandidate | None
) -> CopyAnswer:
    """Return the answer to another owner's question about an adapter."""
    if candidate is None:
        return CopyAnswer(ask.endpoint, owned=False)
    held, score, queued = candidate.held, candidate.score, candidate.queued
    return CopyAnswer(ask.endpoint, True, held, score, queued)


def _parse_answer(answer: CopyAnswer | None) -> copies.LoadCandidate | None:
    if answer is None or not answer.owned:
        return None
    return copies.LoadCandidate(answer.held, answer.score, answer.queued)
