"""The arrival of requests, and on which endpoint a load takes place."""

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

__all__ = ["Arrivals", "Host", "make_answer"]


class Host(Protocol):
    """What arrivals need of the owner that takes them in."""

    instance: Instance
    name: str
    endpoint: str
    placed: model.Placed
    link: PeerLink
    scheduler: EndpointScheduler
    requests: Requests

    def post(self, message: object) -> None:
        """Put a message into the owner's mailbox."""

    def find_refusal(self) -> ErrorKind | None:
        """Return why nothing is taken in at this moment, if so."""


class Arrivals:
    """Take requests in, stay at the door until a load's place is known.

    A request that needs a load waits for the word of the adapter's other
    endpoint. Meanwhile it is neither queued nor accepted, so that whoever
    gives it up knows that it did not run.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self._waiting_by_adapter: dict[AdapterRef, list[model.SubmitCame]] = {}

    @property
    def is_empty(self) -> bool:
        """Tell whether no request waits."""
        return not self._waiting_by_adapter

    def submit(self, came: model.SubmitCame) -> None:
        """Refuse a request, let it wait, or take it in."""
        # A new attempt replaces what waits of an earlier one.
        self.cancel(came.submit.request_id)
        kind = self.host.find_refusal()
        if kind is not None:
            self.host.requests.refuse_submit(came, kind)
            return
        if not self._hold(came):
            self.host.requests.accept(came)

    def take_answer(self, told: model.CopyTold) -> None:
        """Take in or send on what waited for this answer."""
        answer = told.answer
        here, there = self.look(told.adapter), _read(answer)
        moves = here is not None and copies.should_move(here, there)
        for came in self._waiting_by_adapter.pop(told.adapter, []):
            kind = self.host.find_refusal()
            if kind is not None:
                self.host.requests.refuse_submit(came, kind)
            elif moves and answer is not None:
                self.host.requests.refuse_moved(came, answer.endpoint)
            else:
                self.host.requests.accept(came)

    def cancel(self, request_id: str, attempt: int | None = None) -> None:
        """Drop a request that its entry has given up."""

        def is_meant(came: model.SubmitCame) -> bool:
            same = came.submit.request_id == request_id
            return same and attempt in (None, came.submit.attempt)

        self._take_out(is_meant)

    def lose_entry(self, entry: str) -> None:
        """Refuse what waits of an instance that is gone."""
        for came in self._take_out(lambda came: came.question.sender == entry):
            self.host.requests.refuse_submit(came, ErrorKind.NOT_OWNER)

    def look(self, adapter: AdapterRef) -> copies.Situation | None:
        """Return how this endpoint stands to an adapter."""
        now = self.host.instance.now()
        return copies.look(self.host.scheduler, adapter, now)

    def _hold(self, came: model.SubmitCame) -> bool:
        """Let a request that needs a load wait; tell whether it does."""
        adapter = came.submit.adapter
        if came.submit.moved or came.submit.resume or not adapter:
            return False
        here = self.look(adapter)
        if here is None or here.held:
            return False
        waiting = self._waiting_by_adapter.get(adapter)
        if waiting is not None:
            waiting.append(came)
            return True
        ask = self._make_ask(adapter)
        if ask is None:
            return False
        self._waiting_by_adapter[adapter] = [came]
        self.host.instance.spawn(self._ask(*ask), f"{self.host.name}.copy")
        return True

    def _take_out(
        self, is_meant: Callable[[model.SubmitCame], bool]
    ) -> list[model.SubmitCame]:
        taken = []
        for adapter, waiting in self._waiting_by_adapter.items():
            taken += [came for came in waiting if is_meant(came)]
            self._waiting_by_adapter[adapter] = [
                came for came in waiting if not is_meant(came)
            ]
        return taken

    def _make_ask(self, adapter: AdapterRef) -> tuple[str, CopyAsk] | None:
        view = self.host.instance.bus.latest(MemberView)
        if view is None:
            return None
        endpoints, members = view.endpoints_by_id, view.members_by_id
        ranked = rank_reachable_endpoints(
            self.host.placed.pool.name, adapter, endpoints, members
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
            told = result.unwrap() if is_successful(result) else None
            answer = told if isinstance(told, CopyAnswer) else None
        finally:
            # Whatever happens, what waits must hear of it.
            self.host.post(model.CopyTold(ask.adapter, answer))
        if answer is None:
            metrics.count("owner.copy_unanswered")


def make_answer(ask: CopyAsk, situation: copies.Situation | None) -> CopyAnswer:
    """Return the answer to a question."""
    if situation is None:
        return CopyAnswer(ask.endpoint, owned=False)
    held, score, queued = situation.held, situation.score, situation.queued
    return CopyAnswer(ask.endpoint, True, held, score, queued)


def _read(answer: CopyAnswer | None) -> copies.Situation | None:
    if answer is None or not answer.owned:
        return None
    return copies.Situation(answer.held, answer.score, answer.queued)
