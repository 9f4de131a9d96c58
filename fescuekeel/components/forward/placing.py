"""Find the endpoint of a request, and wait until it may be sent there."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from fescuekeel.components.forward.choice import (
    Choice,
    EngineQuestion,
    choose_engine,
    choose_plain,
)
from fescuekeel.components.forward.const import (
    LOAD_WAIT_SHARE,
    NO_HOLDER_POLL_S,
    PATIENCE_TARGETS,
    READING_S,
    TURN_GRACE_S,
)
from fescuekeel.components.forward.endpoints import EndpointLoad
from fescuekeel.components.forward.holders import HolderLink
from fescuekeel.components.forward.loading import LoadAsker
from fescuekeel.components.forward.request import ForwardedRequest
from fescuekeel.components.forward.search import (
    Search,
    refuse_cut_off,
    refuse_for_load,
)
from fescuekeel.components.forward.versions import VersionClock
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.board import (
    LOADS_WAIT,
    NO_ROOM,
    NOT_HELD,
    PlacementBoard,
)
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import Catalog, EndpointRecord, EngineSpec
from fescuekeel.messages import AdmitAnswer, AdmitAsk, LoadAsk

__all__ = ["Placer"]


class Placer:
    """Choose endpoints by what the catalog, the board and requests tell."""

    def __init__(
        self,
        instance: Instance,
        get_load: Callable[[str], EndpointLoad],
        is_cut_off: Callable[[], bool],
    ) -> None:
        self.records_by_service: dict[str, dict[str, EndpointRecord]] = {}
        self._instance = instance
        self._get_load = get_load
        self._is_cut_off = is_cut_off
        self._holders = HolderLink(instance)
        self._asker = LoadAsker(instance, self._holders)
        self._versions = VersionClock()

    def take_catalog(self, catalog: Catalog, now: float) -> None:
        """Take what is published now."""
        by_service: dict[str, dict[str, EndpointRecord]] = {}
        for id, record in catalog.endpoints_by_id.items():
            by_service.setdefault(record.service, {})[id] = record
        self.records_by_service = by_service
        self._versions.update(catalog.versions_by_weights, now)

    def find_record(self, endpoint: str) -> EndpointRecord | None:
        """Return an endpoint that may get work, by its id."""
        for records in self.records_by_service.values():
            if endpoint in records:
                return records[endpoint]
        return None

    def list_endpoints(self) -> set[str]:
        """Return all endpoints that may get work."""
        return {id for records in self.records_by_service.values() for id in records}

    def _get_engine(self, service: str) -> EngineSpec | None:
        catalog = self._instance.bus.latest(Catalog)
        if catalog is None or catalog.configuration is None:
            return None
        spec = catalog.configuration.services_by_name.get(service)
        return spec.engine if spec else None

    async def place(self, request: ForwardedRequest) -> Choice | Failure:
        """Choose an endpoint; wait for its weights and the prompt's turn.

        A stream that is to go on elsewhere has a patience of its own: its
        caller, who has read a part, would wait in vain for the rest if the
        time since its arrival counted.
        """
        began = self._instance.now()
        since = began if request.state.delivered else request.arrived
        until = min(
            since + PATIENCE_TARGETS * request.route.target_s,
            began + LOAD_WAIT_SHARE * (request.deadline - began),
        )
        result = await self._place_until(request, until)
        request.waited_s += self._instance.now() - began
        return result

    async def _place_until(
        self, request: ForwardedRequest, until: float
    ) -> Choice | Failure:
        search = Search(until)
        found: Choice | Failure | None
        while True:
            choice = self._choose(request, search.avoided)
            if choice is None:
                # Guards against a refusal right before an endpoint is there:
                # all of a service's were replaced, and the first has its
                # model in a moment.
                if self._instance.now() >= until:
                    return search.failure
                await asyncio.sleep(NO_HOLDER_POLL_S)
                continue
            if choice.needs_load:
                found = await self._take_load(request, choice, search)
            elif request.weights is None:
                return choice
            else:
                found = await self._take_turn(request, choice, search)
            if found is not None:
                return found

    async def _take_load(
        self, request: ForwardedRequest, choice: Choice, search: Search
    ) -> Failure | None:
        """Have the weights loaded; ``None`` to look again."""
        if self._is_cut_off():
            return refuse_cut_off()
        asked = self._instance.now()
        patient = search.waits_at(choice.endpoint)
        detail = await self._wait_for_load(request, choice, search.until, patient)
        log_event(
            "load_waited",
            request_id=request.head.request_id,
            endpoint=choice.endpoint,
            weights=str(request.weights),
            version=choice.version or 0,
            cost_ms=round(choice.cost_s * 1000),
            waited_ms=round((self._instance.now() - asked) * 1000),
            outcome=detail or "loaded",
        )
        if detail == NO_ROOM:
            search.note_crowded(choice.endpoint)
            return None
        if detail == LOADS_WAIT:
            search.refuse(choice.endpoint)
        if search.is_over(self._instance.now()):
            return refuse_for_load(ErrorKind.LOAD_FAILED, detail or "late")
        if detail:
            # The next holder may be known in a moment.
            await asyncio.sleep(NO_HOLDER_POLL_S)
        return None

    async def _take_turn(
        self, request: ForwardedRequest, choice: Choice, search: Search
    ) -> Choice | Failure | None:
        """Wait for the prompt's turn; ``None`` to look again."""
        self._spread(request, choice)
        patient = search.waits_at(choice.endpoint)
        answer = await self._wait_for_turn(request, choice, search.until, patient)
        if answer is None:
            return choice if self._still_serves(request, choice) else None
        if answer.granted:
            choice = _take_version(choice, answer)
            return choice if self._still_serves(request, choice) else None
        if answer.reason == NOT_HELD:
            self._note_missing(request, choice)
        search.note_no_turn(choice.endpoint, answer, patient)
        return search.failure if search.is_over(self._instance.now()) else None

    def _note_missing(self, request: ForwardedRequest, choice: Choice) -> None:
        board = self._instance.bus.latest(PlacementBoard)
        if board is not None and request.weights is not None:
            now = self._instance.now()
            board.note_missing(choice.endpoint, request.weights, now)

    def _still_serves(self, request: ForwardedRequest, choice: Choice) -> bool:
        """Look again at what may have changed while a prompt waited.

        Guards against work for an endpoint that has announced its leaving
        meanwhile, and against a prompt for an adapter that was told to go.
        """
        record = self.find_record(choice.endpoint)
        if record is None:
            return False
        board = self._instance.bus.latest(PlacementBoard)
        if board is None or request.weights is None:
            return True
        now = self._instance.now()
        return board.find_version(record, request.weights, now) is not None

    def _spread(self, request: ForwardedRequest, choice: Choice) -> None:
        if choice.spread_to and request.weights is not None:
            newest = self._versions.get_newest(request.weights)
            self._asker.spread(choice.spread_to, request.weights, newest)

    async def _wait_for_turn(
        self, request: ForwardedRequest, choice: Choice, until: float, patient: bool
    ) -> AdmitAnswer | None:
        """Wait until the engine's holder lets the prompt go there.

        Without a holder, or its answer, the prompt goes at once: pacing is a
        favour to others' streams and must never lose a request.
        """
        holder = self._holders.find(choice.endpoint)
        if holder is None or request.weights is None:
            return None
        asked = self._instance.now()
        since = asked if request.state.delivered else request.arrived
        on_time = since + request.route.target_s - READING_S
        patience_s = max(0.0, until - asked)
        ask = AdmitAsk(
            choice.endpoint,
            request.head.prompt_tokens,
            request.priority,
            int(max(0.0, on_time - asked) * 1000),
            int(patience_s * 1000),
            request.weights.model,
            request.weights.adapter,
            self._versions.get_oldest_allowed(request.weights, asked),
            patient,
        )
        answer = await self._holders.ask_turn(ask, patience_s + TURN_GRACE_S)
        now = self._instance.now()
        self._instance.metrics.observe("turn_wait", now - asked)
        if answer is None:
            self._instance.metrics.count("turn_missed")
            return None
        board = self._instance.bus.latest(PlacementBoard)
        if board is not None and answer.reason != NOT_HELD:
            board.note_load(choice.endpoint, answer.running, answer.pending_tokens, now)
            if answer.granted:
                board.note_held(choice.endpoint, request.weights, answer.version, now)
        return answer

    async def _wait_for_load(
        self, request: ForwardedRequest, choice: Choice, until: float, patient: bool
    ) -> str:
        """Ask for a load; return why there is none, empty once it is done.

        While another endpoint may have a place that is free now, the ask is
        not ``patient``: a load there takes a quarter of a second, and a place
        here often frees only after a stream of seconds.
        """
        assert request.weights is not None
        now = self._instance.now()
        left_s = max(0.01, until - now)
        on_time_s = request.arrived + request.route.target_s - READING_S - now
        ask = LoadAsk(
            choice.endpoint,
            request.weights.model,
            request.weights.adapter,
            self._versions.get_newest(request.weights),
            request.priority,
            on_time_ms=int(max(0.0, on_time_s) * 1000),
            patience_ms=int(left_s * 1000),
            patient=patient,
            tokens=request.head.prompt_tokens,
        )
        asking = self._asker.load(ask)
        try:
            detail = await asyncio.wait_for(asking, left_s)
        except TimeoutError:
            return "load takes too long"
        return detail

    def _choose(self, request: ForwardedRequest, full: set[str]) -> Choice | None:
        now = self._instance.now()
        records = self.records_by_service.get(request.service, {})
        state = request.state
        allowed = {id: rec for id, rec in records.items() if state.may_go_to(id)}
        # After a failure another endpoint is better, where one is allowed.
        tried = state.endpoints if len(allowed) > len(state.endpoints) else ()
        engine = self._get_engine(request.service)
        weights = request.weights
        if engine is None or weights is None:
            centre = self._instance.settings.instance.data_centre
            return choose_plain(allowed, self._get_load, tried, centre, now)
        board = self._instance.bus.latest(PlacementBoard) or PlacementBoard()
        question = EngineQuestion(
            weights,
            request.head.prompt_tokens,
            engine.slots,
            self._versions.get_newest(weights),
            self._versions.get_oldest_allowed(weights, now),
            request.head.request_id,
            self._instance.settings.instance.data_centre,
        )
        return choose_engine(question, allowed, self._get_load, board, tried, full, now)


def _take_version(choice: Choice, answer: AdmitAnswer) -> Choice:
    """Expect the version that the holder has just said is there.

    Guards against a refusal by an endpoint whose adapter was replaced by a
    newer version: what this instance knows of far endpoints is seconds old.
    """
    if choice.version is None:
        return choice
    return replace(choice, version=answer.version)
