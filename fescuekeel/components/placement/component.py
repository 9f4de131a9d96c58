"""The actor that holds claims and sends updates about their endpoints."""

from typing import Any, cast

from fescuekeel.components.endpoints import (
    DOMAIN as ENDPOINTS_DOMAIN,
    EndpointStates,
)
from fescuekeel.components.placement.admission import AdmissionController
from fescuekeel.components.placement.claims import Claims, OwnClaim, compute_least_term
from fescuekeel.components.placement.const import (
    DOMAIN,
    TICK_S,
)
from fescuekeel.components.placement.engines import EngineTable
from fescuekeel.components.placement.holder import EndpointHolder
from fescuekeel.components.placement.model import LoadResult
from fescuekeel.components.placement.model_loads import may_load_model
from fescuekeel.components.placement.peer_requests import PeerRequestHandler
from fescuekeel.components.placement.publisher import UpdatePublisher, sends_to_all
from fescuekeel.components.placement.scheduler import AdapterScheduler
from fescuekeel.components.placement.updates import EndpointSnapshot
from fescuekeel.components.relay import DOMAIN as RELAY_DOMAIN, PathState, Relay
from fescuekeel.core import Actor, Instance
from fescuekeel.helpers.dialect import get_dialect
from fescuekeel.helpers.incarnation import Incarnation
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.placement_view import (
    PlacementView,
)
from fescuekeel.helpers.published import (
    Catalog,
    EndpointRecord,
    EngineSpec,
    Weights,
)
from fescuekeel.helpers.ticks import sleep_to_tick
from fescuekeel.helpers.weight_memory import WeightMemory
from fescuekeel.messages import (
    AdmitAsk,
    LoadAsk,
    MemberView,
    PeerMessage,
    PlacementNews,
    PlacementState,
    UseNews,
)

__all__ = ["PlacementActor"]

# Announced as the age of the last order where none was sent.
NO_ORDER_AGE_S = 3600.0


class PlacementActor(Actor):
    """Own the claims of this instance and process those of its peers."""

    def __init__(self, instance: Instance) -> None:
        super().__init__(instance, DOMAIN)
        self.placement_view = PlacementView()
        bounds = instance.settings.forwarding
        self._relay = cast(Relay, instance.components_by_domain[RELAY_DOMAIN])
        self._endpoints = cast(
            EndpointStates, instance.components_by_domain[ENDPOINTS_DOMAIN]
        )
        self._claims = Claims(
            instance.id, bounds.lease_s, bounds.fenced, self._relay.unreachable
        )
        self._holders_by_endpoint: dict[str, EndpointHolder] = {}
        self._admission = AdmissionController(instance)
        self._peer_requests = PeerRequestHandler(
            instance, self._admission, self._find_local_holder
        )
        self._publisher = UpdatePublisher(
            instance, self.placement_view, self._list_snapshots, self._list_data_centres
        )
        self._engines = EngineTable()
        self._engines_in_view: dict[str, EndpointRecord] = {}
        self.placement_view.find_candidate = self._find_candidate
        self.placement_view.is_near = self._is_near

    async def start(self) -> None:
        """Subscribe to messages and start the tick task."""
        bus = self.instance.bus
        for kind in (PlacementNews, UseNews, LoadAsk, AdmitAsk):
            bus.subscribe_peer(kind, self.post)
        self._publisher.start()
        bus.publish_state(self.placement_view)
        self.instance.metrics.add_gauge("endpoints_held", self._read_held)
        await super().start()
        self.instance.keep_running(self._tick_forever, f"{DOMAIN}.tick")

    async def stop(self) -> None:
        """Release and announce every claim, so that peers take over soon."""
        self._release(list(self._claims.own_claims_by_endpoint))
        await super().stop()

    async def _tick_forever(self) -> None:
        while True:
            self._tick()
            await sleep_to_tick(TICK_S)

    # Claims.

    def _list_engines(self) -> dict[str, EndpointRecord]:
        self._engines.update(self.instance.bus.latest(Catalog))
        return self._engines.records_by_id

    def _read_members(self) -> MemberView:
        return self.instance.bus.latest(MemberView) or MemberView()

    def _find_candidate(self, endpoint: str) -> str | None:
        record = self._list_engines().get(endpoint)
        if record is None:
            return None
        members = self._read_members().members_by_id
        return self._claims.find_candidate(record, members)

    def _is_near(self, endpoint: str) -> bool:
        """Return whether this instance gets updates of an endpoint."""
        record = self._list_engines().get(endpoint)
        if record is None or sends_to_all(self._read_members()):
            return True
        return record.data_centre == self.instance.settings.instance.data_centre

    def _get_engine(self, record: EndpointRecord) -> EngineSpec | None:
        catalog = self.instance.bus.latest(Catalog)
        if catalog is None or catalog.configuration is None:
            return None
        service = catalog.configuration.services_by_name.get(record.service)
        return service.engine if service else None

    def _tick(self) -> None:
        now = self.instance.now()
        engines = self._list_engines()
        if self.instance.draining:
            self._release(list(self._claims.own_claims_by_endpoint))
            self._update_view(engines, now)
            return
        catalog = self.instance.bus.latest(Catalog)
        view = self._read_members()
        newly_held = self._claims.step(
            self._engines.records_by_name,
            view.members_by_id,
            view.left,
            compute_least_term(catalog.position) if catalog else 0,
            now,
        )
        for name in newly_held:
            self._log_held(name, now)
            self._publisher.schedule_update()
        self._release(self._claims.list_unreachable())
        self._release(self._list_relayed_claims())
        self._sync_holders(engines)
        for holder in self._holders_by_endpoint.values():
            holder.scheduler.usage.prune(now)
        self._update_view(engines, now)
        self._publisher.step()

    def _list_relayed_claims(self) -> list[str]:
        """Return the held endpoints that peers reach and this instance not.

        Orders must come from an instance with a path of its own.
        """
        return [
            name
            for name in self._claims.own_claims_by_endpoint
            if (record := self._engines.records_by_name.get(name)) is not None
            and self._relay.get_state(record.id) is PathState.RELAYED
        ]

    def _read_held(self) -> dict[str, float]:
        return {"": float(sum(map(self._holds, self._holders_by_endpoint)))}

    def _log_held(self, name: str, now: float) -> None:
        own = self._claims.own_claims_by_endpoint[name]
        peer_claim = self._claims.peer_claims_by_endpoint.get(name)
        contact_s = now - (own.contact_since or now)
        log_event(
            "claim_held",
            endpoint=name,
            term=own.term,
            before=peer_claim.holder if peer_claim else "",
            released=peer_claim.released if peer_claim else False,
            heard_age_ms=round((now - peer_claim.received_at) * 1000)
            if peer_claim
            else -1,
            waited_ms=round((now - own.since) * 1000),
            contact_ms=round(contact_s * 1000),
            outcome="held",
        )

    def _sync_holders(self, engines: dict[str, EndpointRecord]) -> None:
        claimed = {
            self._engines.records_by_name[name].id
            for name in self._claims.own_claims_by_endpoint
            if name in self._engines.records_by_name
        }
        for id in self._holders_by_endpoint.keys() - claimed:
            self._remove_holder(id)
        for id in claimed - self._holders_by_endpoint.keys():
            record = engines[id]
            engine = self._get_engine(record)
            if engine is None or not engine.models_by_name:
                continue
            scheduler = AdapterScheduler(
                engine.max_loaded_adapters,
                next(iter(engine.models_by_name)),
                memory=WeightMemory.of_engine(engine),
            )
            self._holders_by_endpoint[id] = EndpointHolder(
                self.instance,
                get_dialect(self.instance.settings.platform),
                self._claims,
                record,
                scheduler,
                self._relay,
                self._endpoints,
                self._peer_requests.answer_load,
                self._publisher.schedule_update,
                self._may_load_model,
                self._get_engine,
            )

    def _may_load_model(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint may load its base model now.

        Counts the endpoints with the model by the holders' recent updates, so
        that an unresponsive endpoint does not block the others.
        """
        now = self.instance.now()
        engine = self._get_engine(record)
        if engine is None:
            return False
        model = Weights(next(iter(engine.models_by_name)))
        others = [
            other
            for other in self._list_engines().values()
            if other.service == record.service
            and self.placement_view.is_current(other.id, now)
        ]
        without = [
            other.id
            for other in others
            if self.placement_view.find_version(other, model, now) is None
        ]
        return may_load_model(record.id, len(others) - len(without), without)

    def _remove_holder(self, endpoint: str) -> None:
        holder = self._holders_by_endpoint.pop(endpoint)
        holder.close()
        self._admission.drop(endpoint)
        self._publisher.forget(endpoint)
        name = holder.record.name
        if holder.has_held and name not in self._claims.own_claims_by_endpoint:
            peer_claim = self._claims.peer_claims_by_endpoint.get(name)
            log_event(
                "claim_lost",
                endpoint=name,
                after=peer_claim.holder if peer_claim else "",
                term=peer_claim.term if peer_claim else 0,
                outcome="lost",
            )
        for number in list(holder.scheduler.requests_by_number):
            self._peer_requests.answer_load(
                LoadResult(number, loaded=False, detail="claim lost")
            )

    def _holds(self, endpoint: str) -> bool:
        name = Incarnation.parse(endpoint).name
        own = self._claims.own_claims_by_endpoint.get(name)
        return own is not None and own.held

    def _find_local_holder(self, endpoint: str) -> EndpointHolder | str:
        """Return the local holder, or the id of the holding instance."""
        holder = self._holders_by_endpoint.get(endpoint)
        if holder is not None and self._holds(endpoint):
            return holder
        name = Incarnation.parse(endpoint).name
        other = self._claims.find_holder(name, self.instance.now())
        return "" if other is None or other == self.instance.id else other

    def _release(self, names: list[str]) -> None:
        """Release claims, and announce how long ago the last order was."""
        now = self.instance.now()
        states = []
        for name in names:
            claim = self._claims.release(name)
            for id, holder in list(self._holders_by_endpoint.items()):
                if holder.record.name == name:
                    self._remove_holder(id)
            if claim is None or not claim.held:
                continue
            last_order_age_s = self._get_last_order_age_s(claim, now)
            states.append(
                PlacementState(name, claim.term, True, int(last_order_age_s * 1000))
            )
        if states:
            self._publisher.send(tuple(states))

    def _get_last_order_age_s(self, claim: OwnClaim, now: float) -> float:
        """Return the age of the last order, as announced with a release.

        A draining instance has closed its connections and sends no more
        orders, so that its successor need not wait for the lease.
        """
        if claim.last_order is None or self.instance.draining:
            return NO_ORDER_AGE_S
        return max(0.0, now - claim.last_order)

    def _list_snapshots(self) -> list[EndpointSnapshot]:
        return [
            EndpointSnapshot(
                id,
                self._claims.own_claims_by_endpoint[holder.record.name].term,
                holder.scheduler.list_servable(),
                holder.scheduler.running,
                self._admission.count_pending(id),
            )
            for id, holder in self._holders_by_endpoint.items()
            if self._holds(id)
        ]

    def _list_data_centres(self) -> set[str]:
        """Return the data centres of the endpoints that are held here."""
        return {
            holder.record.data_centre
            for id, holder in self._holders_by_endpoint.items()
            if self._holds(id)
        }

    def _update_view(self, engines: dict[str, EndpointRecord], now: float) -> None:
        self.placement_view.holders_by_endpoint = {
            record.id: holder
            for name in self._claims.list_claimed()
            if (record := self._engines.records_by_name.get(name)) is not None
            and (holder := self._claims.find_holder(name, now)) is not None
        }
        if engines is not self._engines_in_view:
            self._engines_in_view = engines
            self.placement_view.forget_except(engines)

    # Messages of peers.

    async def handle(self, message: Any) -> None:
        """Handle one message of a peer."""
        assert isinstance(message, PeerMessage)
        match message.body:
            case PlacementNews(states):
                self._receive_states(message.sender, states)
            case UseNews() as update:
                self._receive_use(message.sender, update)
            case LoadAsk() as request:
                self._peer_requests.handle_load(message, request)
            case AdmitAsk() as admit:
                self._peer_requests.handle_prompt(message, admit)

    def _receive_states(self, sender: str, states: tuple[PlacementState, ...]) -> None:
        now = self.instance.now()
        for state in states:
            in_force = self._claims.receive_claim(
                Incarnation.parse(state.endpoint).name,
                sender,
                state.term,
                state.released,
                state.quiet_ms / 1000,
                now,
            )
            if not in_force:
                self.instance.metrics.count("placement.claim_ignored")
            elif not state.released:
                self.placement_view.apply_update(sender, state, now)

    def _receive_use(self, sender: str, update: UseNews) -> None:
        now = self.instance.now()
        for endpoint in update.endpoints:
            holder = self._holders_by_endpoint.get(endpoint.endpoint)
            if holder is None:
                continue
            if endpoint.tokens_per_s:
                speed = endpoint.tokens_per_s
                self._admission.record_speed(holder.record, holder.scheduler, speed)
            if endpoint.pause_percent:
                pause = endpoint.pause_percent / 100
                self._admission.record_pause(holder.record, holder.scheduler, pause)
            for use in endpoint.uses:
                weights = Weights(use.model, use.adapter)
                holder.scheduler.usage.record_use(
                    sender, weights, use.running, use.begun, now
                )
            holder.wake_if_waiting()
