"""The actor that holds claims, and tells all what their endpoints hold."""

from typing import Any

from fescuekeel.components.placement.claims import Claims, OwnClaim
from fescuekeel.components.placement.const import (
    DOMAIN,
    TICK_S,
)
from fescuekeel.components.placement.engines import EngineTable
from fescuekeel.components.placement.holder import EndpointHolder
from fescuekeel.components.placement.model import AskEnded
from fescuekeel.components.placement.model_turns import may_load_model
from fescuekeel.components.placement.news import EndpointNews
from fescuekeel.components.placement.places import EndpointPlaces
from fescuekeel.components.placement.questions import HolderQuestions
from fescuekeel.components.placement.teller import NewsTeller, tells_all
from fescuekeel.components.placement.turns import TurnKeeper
from fescuekeel.core import Actor, Instance
from fescuekeel.helpers.board import (
    PlacementBoard,
)
from fescuekeel.helpers.dialect import get_dialect
from fescuekeel.helpers.incarnation import Incarnation
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import Catalog, EndpointRecord, EngineSpec, Weights
from fescuekeel.helpers.ticks import sleep_to_tick
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

# How long ago the last order was, where none was given at all.
LONG_QUIET_S = 3600.0


class PlacementActor(Actor):
    """Own the claims of this instance and what others have told of theirs."""

    def __init__(self, instance: Instance) -> None:
        super().__init__(instance, DOMAIN)
        self.board = PlacementBoard()
        bounds = instance.settings.forwarding
        self._claims = Claims(instance.id, bounds.lease_s, bounds.fenced)
        self._holders_by_endpoint: dict[str, EndpointHolder] = {}
        self._turns = TurnKeeper(instance)
        self._questions = HolderQuestions(instance, self._turns, self._find_held)
        self._teller = NewsTeller(
            instance, self.board, self._list_news, self._list_centres
        )
        self._engines = EngineTable()
        self._shared_engines: dict[str, EndpointRecord] = {}
        self.board.find_candidate = self._find_candidate
        self.board.is_near = self._is_near

    async def start(self) -> None:
        """Subscribe and begin to step."""
        bus = self.instance.bus
        for kind in (PlacementNews, UseNews, LoadAsk, AdmitAsk):
            bus.subscribe_peer(kind, self.post)
        self._teller.start()
        bus.publish_state(self.board)
        self.instance.metrics.add_gauge("endpoints_held", self._read_held)
        await super().start()
        self.instance.spawn(self._tick_forever(), f"{DOMAIN}.tick")

    async def stop(self) -> None:
        """Give up every claim and tell so, so that others may follow soon."""
        self._release(list(self._claims.own_by_endpoint))
        await super().stop()

    async def _tick_forever(self) -> None:
        while True:
            try:
                self._tick()
            except Exception as error:
                self.instance.metrics.count(f"actor_error.{DOMAIN}")
                log_event("actor_error", actor=DOMAIN, error=repr(error))
            await sleep_to_tick(TICK_S)

    # Claims.

    def _list_engines(self) -> dict[str, EndpointRecord]:
        self._engines.take(self.instance.bus.latest(Catalog))
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
        """Tell whether the holder of an endpoint tells this instance of it."""
        record = self._list_engines().get(endpoint)
        if record is None or tells_all(self._read_members()):
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
            self._release(list(self._claims.own_by_endpoint))
            self._share_board(engines, now)
            return
        catalog = self.instance.bus.latest(Catalog)
        view = self._read_members()
        newly = self._claims.step(
            self._engines.records_by_name,
            view.members_by_id,
            view.left,
            catalog.revision if catalog else 0,
            now,
        )
        for name in newly:
            self._log_held(name, now)
            self._teller.want()
        self._release(self._claims.list_out_of_contact())
        self._match_holders(engines)
        for holder in self._holders_by_endpoint.values():
            holder.places.usage.prune(now)
        self._share_board(engines, now)
        self._teller.step()

    def _read_held(self) -> dict[str, float]:
        return {"": float(sum(map(self._holds, self._holders_by_endpoint)))}

    def _log_held(self, name: str, now: float) -> None:
        own = self._claims.own_by_endpoint[name]
        heard = self._claims.heard_by_endpoint.get(name)
        contact_s = now - (own.contact_since or now)
        log_event(
            "claim_held",
            endpoint=name,
            term=own.term,
            before=heard.holder if heard else "",
            released=heard.released if heard else False,
            heard_age_ms=round((now - heard.heard) * 1000) if heard else -1,
            waited_ms=round((now - own.since) * 1000),
            contact_ms=round(contact_s * 1000),
            outcome="held",
        )

    def _match_holders(self, engines: dict[str, EndpointRecord]) -> None:
        claimed = {
            self._engines.records_by_name[name].id
            for name in self._claims.own_by_endpoint
            if name in self._engines.records_by_name
        }
        for id in self._holders_by_endpoint.keys() - claimed:
            self._drop_holder(id)
        for id in claimed - self._holders_by_endpoint.keys():
            record = engines[id]
            engine = self._get_engine(record)
            if engine is None or not engine.models_by_name:
                continue
            places = EndpointPlaces(
                engine.adapter_places, next(iter(engine.models_by_name))
            )
            self._holders_by_endpoint[id] = EndpointHolder(
                self.instance,
                get_dialect(self.instance.settings.platform),
                self._claims,
                record,
                places,
                self._questions.end_load,
                self._teller.want,
                self._may_load_model,
            )

    def _may_load_model(self, record: EndpointRecord) -> bool:
        """Count who has the base model, by what the holders told lately.

        An endpoint that has fallen silent keeps no other one waiting.
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
            and self.board.is_answered_for(other.id, now)
        ]
        without = [
            other.id
            for other in others
            if self.board.find_version(other, model, now) is None
        ]
        return may_load_model(record.id, len(others) - len(without), without)

    def _drop_holder(self, endpoint: str) -> None:
        holder = self._holders_by_endpoint.pop(endpoint)
        holder.close()
        self._turns.drop(endpoint)
        self._teller.forget(endpoint)
        name = holder.record.name
        if holder.has_held and name not in self._claims.own_by_endpoint:
            heard = self._claims.heard_by_endpoint.get(name)
            log_event(
                "claim_lost",
                endpoint=name,
                after=heard.holder if heard else "",
                term=heard.term if heard else 0,
                outcome="lost",
            )
        for number in list(holder.places.asks_by_number):
            self._questions.end_load(
                AskEnded(number, loaded=False, detail="claim lost")
            )

    def _holds(self, endpoint: str) -> bool:
        name = Incarnation.parse(endpoint).name
        own = self._claims.own_by_endpoint.get(name)
        return own is not None and own.held

    def _find_held(self, endpoint: str) -> EndpointHolder | str:
        """Return the endpoint's holder here, or who holds it elsewhere."""
        holder = self._holders_by_endpoint.get(endpoint)
        if holder is not None and self._holds(endpoint):
            return holder
        name = Incarnation.parse(endpoint).name
        other = self._claims.find_holder(name, self.instance.now())
        return "" if other is None or other == self.instance.id else other

    def _release(self, names: list[str]) -> None:
        """Give up claims, and tell all since when no order was given."""
        now = self.instance.now()
        states = []
        for name in names:
            claim = self._claims.release(name)
            for id, holder in list(self._holders_by_endpoint.items()):
                if holder.record.name == name:
                    self._drop_holder(id)
            if claim is None or not claim.held:
                continue
            quiet_s = self._get_quiet_s(claim, now)
            states.append(PlacementState(name, claim.term, True, int(quiet_s * 1000)))
        if states:
            self._teller.send(tuple(states))

    def _get_quiet_s(self, claim: OwnClaim, now: float) -> float:
        """Return how long ago the last order counts as given.

        An instance that leaves hands over at once: it has closed its
        connections and gives no order any more, and its process lives on for
        longer than a lease. Saves the next holder the wait for one, in which
        nothing is loaded: 3.5 seconds at each instance that is replaced.
        """
        if claim.last_order is None or self.instance.draining:
            return LONG_QUIET_S
        return max(0.0, now - claim.last_order)

    def _list_news(self) -> list[EndpointNews]:
        return [
            EndpointNews(
                id,
                self._claims.own_by_endpoint[holder.record.name].term,
                holder.places.list_servable(),
                holder.places.running,
                self._turns.count_pending(id),
            )
            for id, holder in self._holders_by_endpoint.items()
            if self._holds(id)
        ]

    def _list_centres(self) -> set[str]:
        """Return the data centres of the endpoints that are held here."""
        return {
            holder.record.data_centre
            for id, holder in self._holders_by_endpoint.items()
            if self._holds(id)
        }

    def _share_board(self, engines: dict[str, EndpointRecord], now: float) -> None:
        self.board.holders_by_endpoint = {
            record.id: holder
            for name in self._claims.list_claimed()
            if (record := self._engines.records_by_name.get(name)) is not None
            and (holder := self._claims.find_holder(name, now)) is not None
        }
        if engines is not self._shared_engines:
            self._shared_engines = engines
            self.board.forget_except(engines)

    # Messages.

    async def handle(self, message: Any) -> None:
        """Handle one message of a peer."""
        assert isinstance(message, PeerMessage)
        match message.body:
            case PlacementNews(states):
                self._hear_states(message.sender, states)
            case UseNews() as news:
                self._hear_use(message.sender, news)
            case LoadAsk() as ask:
                self._questions.take_load(message, ask)
            case AdmitAsk() as admit:
                self._questions.take_prompt(message, admit)

    def _hear_states(self, sender: str, states: tuple[PlacementState, ...]) -> None:
        now = self.instance.now()
        for state in states:
            in_force = self._claims.hear(
                Incarnation.parse(state.endpoint).name,
                sender,
                state.term,
                state.released,
                state.quiet_ms / 1000,
                now,
            )
            if in_force and not state.released:
                self.board.hear(sender, state, now)

    def _hear_use(self, sender: str, news: UseNews) -> None:
        now = self.instance.now()
        for endpoint in news.endpoints:
            holder = self._holders_by_endpoint.get(endpoint.endpoint)
            if holder is None:
                continue
            if endpoint.tokens_per_s:
                speed = endpoint.tokens_per_s
                self._turns.note_speed(holder.record, holder.places, speed)
            if endpoint.pause_percent:
                pause = endpoint.pause_percent / 100
                self._turns.note_pause(holder.record, holder.places, pause)
            for use in endpoint.uses:
                weights = Weights(use.model, use.adapter)
                holder.places.usage.note_use(
                    sender, weights, use.running, use.begun, now
                )
            holder.wake_if_asked()
