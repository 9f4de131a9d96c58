"""Select a request's endpoint, and wait until it may be sent there."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from fescuekeel.components.allowance import Permit, PermitNeed, PermitOutcome
from fescuekeel.components.endpoints import (
    Block,
    BlockReason,
    EndpointLoad,
    EndpointStates,
)
from fescuekeel.components.forward.choice import (
    Choice,
    EngineQuery,
    choose_engine,
    choose_plain,
)
from fescuekeel.components.forward.const import (
    ADMISSION_GRACE_S,
    LIMIT_RECHECK_S,
    LIMIT_RETRY_JITTER_S,
    LOAD_WAIT_SHARE,
    NEW_ENDPOINT_S,
    NO_HOLDER_POLL_S,
    PATIENCE_TARGETS,
    PREFILL_S,
)
from fescuekeel.components.forward.endpoint_limiter import EndpointLimiter
from fescuekeel.components.forward.holders import HolderClient
from fescuekeel.components.forward.loading import LoadRequester
from fescuekeel.components.forward.request import ForwardedRequest
from fescuekeel.components.forward.search import (
    RoundStep,
    Search,
    make_cut_off_failure,
    make_overload_failure,
)
from fescuekeel.components.forward.stream_versions import StreamVersions
from fescuekeel.components.forward.versions import VersionTracker
from fescuekeel.components.origins import Origins
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.placement_view import (
    NO_FREE_PLACE,
    NOT_HELD,
    TOO_MANY_LOADS,
    PlacementView,
)
from fescuekeel.helpers.published import Catalog, EndpointRecord, EngineSpec
from fescuekeel.helpers.weight_memory import WeightMemory
from fescuekeel.messages import AdmitAnswer, AdmitAsk, LoadAsk

__all__ = ["EndpointSelector"]


class EndpointSelector:
    """Select endpoints by the catalog, the placement view and own load."""

    def __init__(
        self,
        instance: Instance,
        get_load: Callable[[str], EndpointLoad],
        is_cut_off: Callable[[], bool],
        limiter: EndpointLimiter,
        origins: Origins,
        endpoints: EndpointStates,
    ) -> None:
        self.records_by_service: dict[str, dict[str, EndpointRecord]] = {}
        self.unconfirmed_since_by_id: dict[str, float] = {}
        self._instance = instance
        self._get_load = get_load
        self._is_cut_off = is_cut_off
        self._limiter = limiter
        self._endpoints = endpoints
        self._holders = HolderClient(instance)
        self._load_requester = LoadRequester(instance, self._holders)
        self._versions = VersionTracker()
        self._stream_versions = StreamVersions(instance, origins)
        self._seen_at_by_id: dict[str, float] = {}
        self._engines_by_service: dict[str, EngineSpec | None] = {}

    def update_catalog(self, catalog: Catalog, now: float) -> None:
        """Apply a new catalog."""
        by_service: dict[str, dict[str, EndpointRecord]] = {}
        for id, record in catalog.endpoints_by_id.items():
            by_service.setdefault(record.service, {})[id] = record
        self.records_by_service = by_service
        self.unconfirmed_since_by_id = catalog.unconfirmed_since_by_id
        self._update_engines(catalog)
        # Endpoints of the first catalog may have started long before.
        first_seen_at = now if self._seen_at_by_id else float("-inf")
        self._seen_at_by_id = {
            id: self._seen_at_by_id.get(id, first_seen_at)
            for id in catalog.endpoints_by_id
        }
        self._versions.update(catalog.versions_by_weights, now)

    def find_record(self, endpoint: str) -> EndpointRecord | None:
        """Return the record of an endpoint that may get requests."""
        for records in self.records_by_service.values():
            if endpoint in records:
                return records[endpoint]
        return None

    def read_unconfirmed_s(self, endpoint: str, now: float) -> float:
        """Return for how long its entry has been missing, else -1."""
        since = self.unconfirmed_since_by_id.get(endpoint)
        return -1.0 if since is None else now - since

    def list_endpoints(self) -> set[str]:
        """Return the ids of all endpoints that may get requests."""
        return {id for records in self.records_by_service.values() for id in records}

    def _update_engines(self, catalog: Catalog) -> None:
        """Keep the engines of services that are no longer listed.

        Requests that were routed to one before go on at its endpoints.
        """
        if catalog.configuration is None:
            return
        specs = catalog.configuration.services_by_name
        kept = self._engines_by_service.keys() & self.records_by_service.keys()
        engines = {service: self._engines_by_service[service] for service in kept}
        engines |= {service: spec.engine for service, spec in specs.items()}
        self._engines_by_service = engines

    def _get_engine(self, service: str) -> EngineSpec | None:
        """Return the engine of a service, ``None`` for a plain one."""
        return self._engines_by_service.get(service)

    async def select_endpoint(
        self, request: ForwardedRequest, avoided: str = ""
    ) -> Choice | Failure:
        """Select an endpoint; wait for its weights and for admission.

        The ``avoided`` endpoint is left out, also if there is no other.

        A stream that is resumed gets the full wait again: counted from its
        arrival, the time would be over and the stream would be cut.
        """
        began = self._instance.now()
        too_large = self._find_too_large(request)
        if too_large is not None:
            return too_large
        since = began if request.state.answer_started else request.arrived
        until = min(
            since + PATIENCE_TARGETS * request.route.target_s,
            began + LOAD_WAIT_SHARE * (request.deadline - began),
        )
        return await self._select_until(request, until, avoided)

    def _find_too_large(self, request: ForwardedRequest) -> Failure | None:
        """Return a failure if no endpoint can hold the weights.

        One that holds them all the same is used.
        """
        engine, weights = self._get_engine(request.service), request.weights
        if engine is None or weights is None:
            return None
        if WeightMemory.of_engine(engine).can_ever_hold(weights):
            return None
        view = self._instance.bus.latest(PlacementView) or PlacementView()
        now = self._instance.now()
        records = self._list_candidates(request).values()
        if any(
            view.find_version(record, weights, now) is not None for record in records
        ):
            return None
        return Failure(ErrorKind.WEIGHTS_TOO_LARGE, str(weights))

    async def _select_until(
        self, request: ForwardedRequest, until: float, avoided: str = ""
    ) -> Choice | Failure:
        search = Search(until, avoided)
        found: Choice | Failure | None
        while True:
            step = search.begin_round(self._instance.now())
            if step is RoundStep.END:
                return search.failure
            if step is RoundStep.PAUSE:
                # Guards against a busy loop where nothing else waits.
                await asyncio.sleep(NO_HOLDER_POLL_S)
                if self._instance.now() >= until:
                    return search.failure
            limited = search.list_limited(self._instance.now())
            choice = self._choose(request, search)
            if choice is not None and choice.endpoint in limited:
                refused = await self._wait_for_limit(request, search)
                if refused is not None:
                    return refused
                continue
            if choice is None and (blocks := self._list_blocks(request)):
                refused = await self._wait_for_back_off(request, blocks)
                if refused is not None:
                    return refused
                continue
            if choice is None:
                # Guards against refusals while all endpoints of a service are
                # replaced and the first is about to be ready.
                gone = await self._find_gone_version(request)
                if gone is not None:
                    return gone
                if self._instance.now() >= until:
                    return search.failure
                await asyncio.sleep(NO_HOLDER_POLL_S)
                continue
            if choice.needs_load:
                found = await self._load_weights(request, choice, search)
            else:
                found = await self._send_within_limit(request, choice, search)
            if found is not None:
                return found

    async def _wait_for_limit(
        self, request: ForwardedRequest, search: Search
    ) -> Failure | None:
        """Wait while all endpoints are at their rate limits.

        Returns a failure at once if the wait would make the answer late.
        """
        wait_s = search.find_limit_wait_s(self._instance.now())
        return await self._wait_on_time(request, wait_s, ErrorKind.ENDPOINTS_LIMITED)

    async def _wait_on_time(
        self, request: ForwardedRequest, wait_s: float, kind: ErrorKind
    ) -> Failure | None:
        """Wait, or return a failure at once if the answer would be late."""
        now = self._instance.now()
        since = now if request.state.answer_started else request.arrived
        if now + wait_s > since + request.route.target_s - PREFILL_S:
            retry_after_s = wait_s + random.uniform(0.0, LIMIT_RETRY_JITTER_S)
            return Failure(kind, retry_after_s=retry_after_s)
        await asyncio.sleep(wait_s)
        return None

    def _list_blocks(self, request: ForwardedRequest) -> list[Block]:
        """Return why no endpoint may get the request, empty if some may."""
        records = self._list_candidates(request)
        usable = [id for id in records if request.state.may_send_to(id)]
        blocks = [self._endpoints.find_block(id) for id in usable]
        if None in blocks:
            return []
        return [block for block in blocks if block is not None]

    async def _wait_for_back_off(
        self, request: ForwardedRequest, blocks: list[Block]
    ) -> Failure | None:
        """Wait while all endpoints back off.

        Returns a failure at once if the wait would make the answer late, or if
        the request may not be sent to those that do not back off.
        """
        others = self._list_candidates(request).keys()
        if any(self._endpoints.find_block(id) is None for id in others):
            return Failure(ErrorKind.ENDPOINT_REFUSED, "max_attempts")
        now = self._instance.now()
        wait_s = max(0.0, min(block.until for block in blocks) - now)
        return await self._wait_on_time(request, wait_s, ErrorKind.ENDPOINTS_BACKED_OFF)

    async def _send_within_limit(
        self, request: ForwardedRequest, choice: Choice, search: Search
    ) -> Choice | Failure | None:
        """Take a part of the endpoint's limit, and wait for admission.

        Returns ``None`` to choose again.
        """
        if self._limiter.is_limited(choice.endpoint):
            wait_s = await self._limiter.take(choice.endpoint)
            if wait_s > 0:
                until = self._instance.now() + min(wait_s, LIMIT_RECHECK_S)
                search.record_limited(choice.endpoint, until)
                return None
            choice = replace(choice, within_limit=True)
        found: Choice | Failure | None = None
        try:
            found = await self._send_with_permit(request, choice, search)
        finally:
            if choice.within_limit and not isinstance(found, Choice):
                self._limiter.refund(choice.endpoint)
        return found

    async def _send_with_permit(
        self, request: ForwardedRequest, choice: Choice, search: Search
    ) -> Choice | Failure | None:
        """Take a permit where endpoints need it, and wait for admission.

        Returns ``None`` to choose again.
        """
        max_rejections_per_s = self._limiter.get_max_rejections_per_s(request.service)
        if max_rejections_per_s is not None:
            permit = await self._take_permit(
                request, choice, search, max_rejections_per_s
            )
            if not isinstance(permit, Permit):
                return permit
            choice = replace(choice, permit=permit)
        if request.weights is None or self._get_engine(request.service) is None:
            return choice
        found: Choice | Failure | None = None
        try:
            found = await self._admit_prompt(request, choice, search)
        finally:
            if choice.permit is not None and not isinstance(found, Choice):
                self._limiter.end_permit(choice.permit, PermitOutcome.UNUSED)
        return found

    async def _take_permit(
        self,
        request: ForwardedRequest,
        choice: Choice,
        search: Search,
        max_rejections_per_s: float,
    ) -> Permit | Failure | None:
        """Take a permit for an endpoint that has a rejection limit.

        Several endpoints are asked for a free permit, before the request waits
        for one. What no endpoint has capacity for is refused at once.
        """
        record = self.find_record(choice.endpoint)
        if record is None:
            return None
        now = self._instance.now()
        patience_s = 0.0
        if search.may_wait_for_permit(choice.endpoint):
            since = now if request.state.answer_started else request.arrived
            on_time = min(search.until, since + request.route.target_s - PREFILL_S)
            patience_s = max(0.0, on_time - now)
        need = PermitNeed(
            choice.endpoint,
            request.priority,
            patience_s,
            max(0.0, request.deadline - now),
            self._get_load(choice.endpoint).running,
            record.slots,
            max_rejections_per_s,
            self._is_new(choice.endpoint, now),
        )
        taken = await self._limiter.take_permit(need)
        if isinstance(taken, Permit):
            return taken
        if search.record_without_permit(choice.endpoint) or patience_s > 0:
            retry_after_s = taken + random.uniform(0.0, LIMIT_RETRY_JITTER_S)
            return Failure(ErrorKind.ENDPOINTS_LIMITED, retry_after_s=retry_after_s)
        return None

    def _is_new(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint has just started."""
        return now - self._seen_at_by_id.get(endpoint, now) < NEW_ENDPOINT_S

    async def _load_weights(
        self, request: ForwardedRequest, choice: Choice, search: Search
    ) -> Failure | None:
        """Load the weights; return ``None`` to choose again."""
        if self._is_cut_off():
            return make_cut_off_failure()
        asked = self._instance.now()
        patient = search.may_queue_at(choice.endpoint)
        detail = await self._request_load(request, choice, search.until, patient)
        log_event(
            "load_waited",
            request_id=request.metadata.request_id,
            endpoint=choice.endpoint,
            weights=str(request.weights),
            version=choice.version or 0,
            cost_ms=round(choice.cost_s * 1000),
            waited_ms=round((self._instance.now() - asked) * 1000),
            outcome=detail or "loaded",
        )
        if detail == NO_FREE_PLACE:
            search.record_congested(choice.endpoint)
            return None
        if detail == TOO_MANY_LOADS:
            search.record_full(choice.endpoint)
        if search.is_exhausted(self._instance.now()):
            return make_overload_failure(ErrorKind.LOAD_FAILED, detail or "late")
        if detail:
            # Another instance may have become the holder by then.
            await asyncio.sleep(NO_HOLDER_POLL_S)
        return None

    async def _admit_prompt(
        self, request: ForwardedRequest, choice: Choice, search: Search
    ) -> Choice | Failure | None:
        """Wait for the prompt's admission; return ``None`` to choose again."""
        self._spread(request, choice)
        patient = search.may_queue_at(choice.endpoint, choice.permit is not None)
        answer = await self._request_admission(request, choice, search.until, patient)
        if answer is None:
            return choice if self._still_serves(request, choice) else None
        if answer.granted:
            choice = _expect_version(choice, answer)
            return choice if self._still_serves(request, choice) else None
        if answer.reason == NOT_HELD:
            self._record_missing(request, choice)
        search.record_not_admitted(choice.endpoint, answer, patient)
        return search.failure if search.is_exhausted(self._instance.now()) else None

    def _record_missing(self, request: ForwardedRequest, choice: Choice) -> None:
        view = self._instance.bus.latest(PlacementView)
        if view is not None and request.weights is not None:
            now = self._instance.now()
            view.record_missing(choice.endpoint, request.weights, now)

    def _still_serves(self, request: ForwardedRequest, choice: Choice) -> bool:
        """Return whether the endpoint can serve the prompt after its wait.

        Guards against sending it to an endpoint that has been deregistered or
        backs off, or whose adapter has been unloaded, in the meantime.
        """
        record = self.find_record(choice.endpoint)
        if record is None or self._endpoints.find_block(choice.endpoint):
            return False
        view = self._instance.bus.latest(PlacementView)
        if view is None or request.weights is None:
            return True
        now = self._instance.now()
        return view.find_version(record, request.weights, now) is not None

    def _spread(self, request: ForwardedRequest, choice: Choice) -> None:
        if choice.spread_to and request.weights is not None:
            newest = self._versions.get_newest(request.weights)
            self._load_requester.spread(choice.spread_to, request.weights, newest)

    async def _request_admission(
        self, request: ForwardedRequest, choice: Choice, until: float, patient: bool
    ) -> AdmitAnswer | None:
        """Wait until the endpoint's holder admits the prompt.

        Without a holder or an answer, the prompt is sent at once: pacing
        protects other streams and must not fail requests.
        """
        holder = self._holders.find(choice.endpoint)
        if holder is None or request.weights is None:
            return None
        asked = self._instance.now()
        since = asked if request.state.answer_started else request.arrived
        on_time = since + request.route.target_s - PREFILL_S
        patience_s = max(0.0, until - asked)
        ask = AdmitAsk(
            choice.endpoint,
            request.metadata.prompt_tokens,
            request.priority,
            int(max(0.0, on_time - asked) * 1000),
            int(patience_s * 1000),
            request.weights.model,
            request.weights.adapter,
            self._versions.get_oldest_allowed(request.weights, asked),
            patient,
        )
        answer = await self._holders.ask_admission(ask, patience_s + ADMISSION_GRACE_S)
        now = self._instance.now()
        self._instance.metrics.observe("turn_wait", now - asked)
        if answer is None:
            self._instance.metrics.count("turn_missed")
            return None
        view = self._instance.bus.latest(PlacementView)
        if view is not None and answer.reason != NOT_HELD:
            view.record_load(
                choice.endpoint, answer.running, answer.pending_tokens, now
            )
            if answer.granted:
                view.record_held(choice.endpoint, request.weights, answer.version, now)
        return answer

    async def _request_load(
        self, request: ForwardedRequest, choice: Choice, until: float, patient: bool
    ) -> str:
        """Request a load; return the reason of a failure, empty if loaded.

        With ``patient`` the load may wait for a free place. Otherwise another
        endpoint is tried first, since a load there is faster than the wait
        for a running stream here.
        """
        assert request.weights is not None
        now = self._instance.now()
        left_s = max(0.01, until - now)
        on_time_s = request.arrived + request.route.target_s - PREFILL_S - now
        ask = LoadAsk(
            choice.endpoint,
            request.weights.model,
            request.weights.adapter,
            self._versions.get_newest(request.weights),
            request.priority,
            on_time_ms=int(max(0.0, on_time_s) * 1000),
            patience_ms=int(left_s * 1000),
            patient=patient,
            tokens=request.metadata.prompt_tokens,
        )
        try:
            # Unlike ``wait_for``, this loses no cancellation that comes
            # together with the answer.
            async with asyncio.timeout(left_s):
                return await self._load_requester.load(ask)
        except TimeoutError:
            return "load takes too long"

    async def _find_gone_version(self, request: ForwardedRequest) -> Failure | None:
        """Return a failure if no endpoint can resume a stream soon."""
        if request.origin is None:
            return None
        now = self._instance.now()
        since = now if request.state.answer_started else request.arrived
        return await self._stream_versions.find_failure(
            request.metadata.request_id, request.origin, since
        )

    def _find_doubt(self, endpoint: str) -> Block | None:
        """Return a reason against an endpoint whose entry is missing."""
        if endpoint in self.unconfirmed_since_by_id:
            return Block(BlockReason.UNCONFIRMED)
        return None

    def _list_candidates(self, request: ForwardedRequest) -> dict[str, EndpointRecord]:
        """Return the endpoints that can serve a request.

        Streams of two software versions cannot be joined.
        """
        records = self.records_by_service.get(request.service, {})
        if request.origin is None:
            return records
        return {
            id: record
            for id, record in records.items()
            if record.software == request.origin.software
        }

    def _choose(self, request: ForwardedRequest, search: Search) -> Choice | None:
        records = self._list_candidates(request)
        choice = self._choose_among(request, records, search)
        if choice is None:
            return None
        return replace(
            choice,
            software=records[choice.endpoint].software,
            unconfirmed=choice.endpoint in self.unconfirmed_since_by_id,
        )

    def _choose_among(
        self,
        request: ForwardedRequest,
        records: dict[str, EndpointRecord],
        search: Search,
    ) -> Choice | None:
        now = self._instance.now()
        state = request.state
        allowed = {
            id: record
            for id, record in records.items()
            if id != search.avoided
            and state.may_send_to(id)
            and self._endpoints.find_block(id) is None
        }

        def list_blocks(endpoint: str) -> list[Block]:
            blocks = (
                self._endpoints.find_block(endpoint),
                self._find_doubt(endpoint),
                self._get_load(endpoint).health.find_block(now),
                search.find_block(endpoint, now),
            )
            return [block for block in blocks if block is not None]

        # After a failure, another endpoint is preferred if one is allowed.
        tried = state.endpoints & allowed.keys()
        if len(allowed) == len(tried):
            tried = set()
        engine = self._get_engine(request.service)
        weights = request.weights
        if engine is None or weights is None:
            centre = self._instance.settings.instance.data_centre
            return choose_plain(
                allowed, self._get_load, tried, centre, list_blocks, now
            )
        view = self._instance.bus.latest(PlacementView) or PlacementView()
        query = EngineQuery(
            weights,
            request.metadata.prompt_tokens,
            engine.slots,
            self._versions.get_newest(weights),
            self._versions.get_oldest_allowed(weights, now),
            request.metadata.request_id,
            self._instance.settings.instance.data_centre,
        )
        return choose_engine(
            query, allowed, self._get_load, view, tried, list_blocks, now
        )


def _expect_version(choice: Choice, answer: AdmitAnswer) -> Choice:
    """Use the version that the holder has reported with the admission.

    Guards against a refusal by an endpoint that has a newer version: what this
    instance knows of remote endpoints is seconds old.
    """
    if choice.version is None:
        return choice
    return replace(choice, version=answer.version)
