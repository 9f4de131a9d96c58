"""Take places at endpoints from their homes, and grant them as a home."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fescuekeel.components.allowance.const import (
    ASK_TIMEOUT_S,
    HOME_BACKOFF_S,
    MAX_ACCOUNTS,
    MIN_RETRY_AFTER_S,
    ROOM_PREFIX,
    ROOM_TTL_S,
)
from fescuekeel.components.allowance.rooms import (
    EndpointRoom,
    PlaceDecision,
    PlaceOutcome,
    PlaceRequest,
)
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import PeerMessage, PlaceAnswer, PlaceAsk, PlaceEnded

__all__ = ["Place", "PlaceNeed", "Places"]

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class PlaceNeed:
    """What a request needs at an endpoint.

    ``running`` are this instance's requests there, and the other fields those
    of ``PlaceAsk``.
    """

    endpoint: str
    priority: int
    patience_s: float
    lasts_s: float
    running: int
    slots: int
    stands_per_s: float
    is_new: bool = False


@dataclass(frozen=True, slots=True)
class Place:
    """A place for one request; ``home`` is empty if none has granted it."""

    endpoint: str
    number: int
    home: str


class Places:
    """Own the places of this instance, and the rooms whose home it is."""

    def __init__(
        self,
        instance: Instance,
        list_homes: Callable[[str], list[str]],
        record_silent: Callable[[str, str], None],
        count_instances: Callable[[], int],
    ) -> None:
        self._instance = instance
        self._list_homes = list_homes
        self._record_silent = record_silent
        self._count_instances = count_instances
        self._numbers = itertools.count(1)
        self._held_by_endpoint: Counter[tuple[str, str]] = Counter()
        self._rooms_by_endpoint: dict[str, EndpointRoom] = {}
        self._asks_by_key: dict[tuple[str, str, int], PeerMessage] = {}
        self._timers_by_endpoint: dict[str, asyncio.TimerHandle] = {}

    def start(self) -> None:
        """Subscribe to the requests of peers."""
        bus = self._instance.bus
        bus.subscribe_peer(PlaceAsk, self._handle_ask)
        bus.subscribe_peer(PlaceEnded, self._handle_ended)
        self._instance.metrics.add_gauge("endpoint_room", self._read_limits)

    # Requests of this instance.

    async def take(self, need: PlaceNeed) -> Place | float:
        """Take a place; without one, return how many seconds to wait."""
        for home in self._list_homes(f"{ROOM_PREFIX}{need.endpoint}"):
            number = next(self._numbers)
            answer = await self._ask(home, need, number)
            if answer is None:
                self._record_silent(need.endpoint, home)
                continue
            outcome = "granted" if answer.granted else "refused"
            self._instance.metrics.count(f"endpoint_room.{outcome}")
            if not answer.granted:
                return max(MIN_RETRY_AFTER_S, answer.wait_ms / MS_PER_S)
            self._held_by_endpoint[need.endpoint, home] += 1
            return Place(need.endpoint, number, home)
        return self._take_even_part(need)

    def _take_even_part(self, need: PlaceNeed) -> Place | float:
        """Use this instance's part of the room while no home answers."""
        if need.running >= max(1, need.slots // self._count_instances()):
            return HOME_BACKOFF_S
        return Place(need.endpoint, 0, "")

    async def _ask(self, home: str, need: PlaceNeed, number: int) -> PlaceAnswer | None:
        running = need.running - self._held_by_endpoint[need.endpoint, home]
        ask = PlaceAsk(
            need.endpoint,
            number,
            need.priority,
            int(need.patience_s * MS_PER_S),
            int(need.lasts_s * MS_PER_S),
            max(0, running),
            need.slots,
            need.stands_per_s,
            need.is_new,
        )
        link = get_peer_link(self._instance)
        timeout_s = need.patience_s + ASK_TIMEOUT_S
        try:
            answer = (await link.ask(home, ask, timeout_s)).value_or(None)
        except asyncio.CancelledError:
            # The place may be granted to a request that is gone.
            link.send(home, PlaceEnded(need.endpoint, number, PlaceOutcome.UNUSED))
            raise
        if isinstance(answer, PlaceAnswer):
            return answer
        link.send(home, PlaceEnded(need.endpoint, number, PlaceOutcome.UNUSED))
        return None

    def end(self, place: Place, outcome: PlaceOutcome) -> None:
        """Give a place back, and tell its home how the request ended."""
        if not place.home:
            return
        held = self._held_by_endpoint
        key = (place.endpoint, place.home)
        held[key] -= 1
        if held[key] <= 0:
            del held[key]
        ended = PlaceEnded(place.endpoint, place.number, outcome)
        get_peer_link(self._instance).send(place.home, ended)

    def report_rejected(self, endpoint: str) -> None:
        """Tell the home of a request without a place that was rejected."""
        home = next(iter(self._list_homes(f"{ROOM_PREFIX}{endpoint}")), None)
        if home is not None:
            ended = PlaceEnded(endpoint, 0, PlaceOutcome.REJECTED)
            get_peer_link(self._instance).send(home, ended)

    # This instance as the home of rooms.

    def _handle_ask(self, message: PeerMessage) -> None:
        ask = message.body
        assert isinstance(ask, PlaceAsk)
        now = self._instance.now()
        room = self._get_room(ask)
        request = PlaceRequest(
            message.sender,
            ask.number,
            ask.priority,
            ask.patience_ms / MS_PER_S,
            ask.lasts_ms / MS_PER_S,
            ask.running,
        )
        self._asks_by_key[ask.endpoint, *request.key] = message
        self._apply(ask.endpoint, room, room.ask(request, now))

    def _get_room(self, ask: PlaceAsk) -> EndpointRoom:
        room = self._rooms_by_endpoint.get(ask.endpoint)
        if room is None:
            self._forget_old()
            if len(self._rooms_by_endpoint) >= MAX_ACCOUNTS:
                self._forget_room(next(iter(self._rooms_by_endpoint)))
            room = EndpointRoom(max(1, ask.slots), ask.stands_per_s, ask.is_new)
            self._rooms_by_endpoint[ask.endpoint] = room
        room.stands_per_s = ask.stands_per_s
        return room

    def _handle_ended(self, message: PeerMessage) -> None:
        ended = message.body
        assert isinstance(ended, PlaceEnded)
        room = self._rooms_by_endpoint.get(ended.endpoint)
        if room is None:
            return
        try:
            outcome = PlaceOutcome(ended.outcome)
        except ValueError:
            self._instance.metrics.count("endpoint_room.unknown_outcome")
            outcome = PlaceOutcome.BROKEN
        before = int(room.limit)
        key = (message.sender, ended.number)
        self._asks_by_key.pop((ended.endpoint, *key), None)
        decisions = room.end(key, outcome, self._instance.now())
        if outcome is PlaceOutcome.REJECTED:
            self._log_rejected(ended.endpoint, room, before)
        self._apply(ended.endpoint, room, decisions)

    def _log_rejected(self, endpoint: str, room: EndpointRoom, before: int) -> None:
        self._instance.metrics.count("endpoint_room.rejected")
        log_event(
            "endpoint_room_narrowed",
            endpoint=endpoint,
            limit=int(room.limit),
            before=before,
            slots=room.slots,
            in_use=room.count_in_use(self._instance.now()),
            stands_per_s=room.stands_per_s,
            outcome="narrowed" if int(room.limit) < before else "kept",
        )

    def _apply(
        self, endpoint: str, room: EndpointRoom, decisions: Iterable[PlaceDecision]
    ) -> None:
        link = get_peer_link(self._instance)
        for decision in decisions:
            key = (endpoint, *decision.request.key)
            message = self._asks_by_key.pop(key, None)
            if message is not None:
                wait_ms = int(decision.wait_s * MS_PER_S)
                link.answer(message, PlaceAnswer(decision.granted, wait_ms))
        self._schedule(endpoint, room)

    def _schedule(self, endpoint: str, room: EndpointRoom) -> None:
        timer = self._timers_by_endpoint.pop(endpoint, None)
        if timer is not None:
            timer.cancel()
        delay_s = room.get_next_check(self._instance.now())
        if delay_s < ROOM_TTL_S:
            loop = asyncio.get_running_loop()
            self._timers_by_endpoint[endpoint] = loop.call_later(
                delay_s, self._step, endpoint
            )

    def _step(self, endpoint: str) -> None:
        self._timers_by_endpoint.pop(endpoint, None)
        room = self._rooms_by_endpoint.get(endpoint)
        if room is not None:
            self._apply(endpoint, room, room.step(self._instance.now()))

    def drop_instances(self, gone: Iterable[str]) -> None:
        """Free the places of instances that are gone."""
        now = self._instance.now()
        lost = set(gone)
        for key in [key for key in self._asks_by_key if key[1] in lost]:
            del self._asks_by_key[key]
        for endpoint, room in list(self._rooms_by_endpoint.items()):
            self._apply(endpoint, room, room.drop_instances(lost, now))

    def _forget_old(self) -> None:
        """Forget rooms that nobody has asked for lately."""
        now = self._instance.now()
        for endpoint, room in list(self._rooms_by_endpoint.items()):
            if now - room.updated_at > ROOM_TTL_S:
                self._forget_room(endpoint)

    def _forget_room(self, endpoint: str) -> None:
        del self._rooms_by_endpoint[endpoint]
        timer = self._timers_by_endpoint.pop(endpoint, None)
        if timer is not None:
            timer.cancel()

    def _read_limits(self) -> dict[str, float]:
        return {id: room.limit for id, room in self._rooms_by_endpoint.items()}
