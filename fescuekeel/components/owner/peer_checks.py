"""Call endpoints to find out whether they are alive, also for peers.

An endpoint behind a cut link looks to its owner as if it had crashed. Only the
evidence of a peer can distinguish the two.
"""

import asyncio
import random
from collections.abc import Callable

from fescuekeel.components.owner.const import (
    CRASH_CHECK_TIMEOUT_S,
    DOMAIN,
    MAX_PEERS_ASKED,
    PEER_CHECK_TIMEOUT_S,
)
from fescuekeel.components.tree.model import Pool
from fescuekeel.core import Instance
from fescuekeel.helpers.driver import DRIVERS, Driver
from fescuekeel.helpers.http_connection import NotConnectedError, connect
from fescuekeel.helpers.liveness import Liveness, classify_failed_connect
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import (
    LiveEntry,
    LivenessAnswer,
    LivenessAsk,
    Member,
    MemberView,
    PeerMessage,
)

__all__ = ["LivenessServer", "ask_peers", "call_endpoint"]


async def call_endpoint(
    instance: Instance, address: str, driver: Driver, boot_id: str
) -> Liveness:
    """Return what a call to an endpoint shows.

    An answer with another ``boot_id`` than this one is of a later start.
    """
    try:
        connection = await connect(address, CRASH_CHECK_TIMEOUT_S)
    except NotConnectedError as error:
        return classify_failed_connect(error.__cause__)
    connection.close()
    asked_at = instance.now()
    report = await driver.report(CRASH_CHECK_TIMEOUT_S)
    if report is None:
        quick = instance.now() - asked_at < CRASH_CHECK_TIMEOUT_S / 2
        return Liveness.CLOSED if quick else Liveness.SILENT
    replaced = boot_id not in ("", report.boot_id)
    return Liveness.REPLACED if replaced else Liveness.ALIVE


async def ask_peers(
    instance: Instance, endpoint: str, boot_id: str, own: Liveness
) -> Liveness:
    """Return what peers find at an endpoint that looks crashed.

    If no peer has evidence, this instance's own finding counts while it
    reaches another endpoint; otherwise the result is ``SILENT``.
    """
    peers = _choose_peers(instance, endpoint)
    if not peers:
        return own
    ask = LivenessAsk(endpoint, boot_id)
    link = get_peer_link(instance)
    asks = [link.ask(peer, ask, PEER_CHECK_TIMEOUT_S) for peer in peers]
    answers = [answer.value_or(None) for answer in await asyncio.gather(*asks)]
    found = [answer for answer in answers if isinstance(answer, LivenessAnswer)]
    if any(answer.liveness == Liveness.ALIVE for answer in found):
        return Liveness.ALIVE
    if any(answer.reaches_others for answer in found):
        return own
    return own if await _reaches_another(instance, endpoint) else Liveness.SILENT


def _choose_peers(instance: Instance, endpoint: str) -> list[str]:
    """Return a few peers, those of the endpoint's data centre first."""
    view = _get_view(instance)
    entry = view.endpoints_by_id.get(endpoint)
    peers = [
        member
        for member in view.members_by_id.values()
        if member.id != instance.id and endpoint not in member.unreachable
    ]
    random.shuffle(peers)
    peers.sort(key=lambda member: not _is_near(member, entry))
    return [member.id for member in peers[:MAX_PEERS_ASKED]]


def _is_near(member: Member, entry: LiveEntry | None) -> bool:
    return entry is not None and member.data_centre == entry.data_centre


def _get_view(instance: Instance) -> MemberView:
    return instance.bus.latest(MemberView) or MemberView()


async def _reaches_another(instance: Instance, endpoint: str) -> bool:
    """Return whether another endpoint accepts a connection.

    Also true if there is no other endpoint to try.
    """
    entries = _get_view(instance).endpoints_by_id.values()
    others = [entry.address for entry in entries if entry.id != endpoint]
    if not others:
        return True
    try:
        connection = await connect(random.choice(others), CRASH_CHECK_TIMEOUT_S)
    except NotConnectedError:
        return False
    connection.close()
    return True


class LivenessServer:
    """Call endpoints for peers that own them."""

    def __init__(
        self, instance: Instance, find_pool: Callable[[str], Pool | None]
    ) -> None:
        self._instance = instance
        self._find_pool = find_pool

    def start(self) -> None:
        """Subscribe to the requests of peers."""
        self._instance.bus.subscribe_peer(LivenessAsk, self._handle_ask)

    def _handle_ask(self, message: PeerMessage) -> None:
        assert isinstance(message.body, LivenessAsk)
        work = self._answer(message, message.body)
        self._instance.spawn(work, f"{DOMAIN}.liveness")

    async def _answer(self, message: PeerMessage, ask: LivenessAsk) -> None:
        found = await self._call(ask)
        reaches_others = found is not Liveness.ALIVE and await _reaches_another(
            self._instance, ask.endpoint
        )
        log_event(
            "liveness_checked_for_peer",
            peer=message.sender,
            endpoint=ask.endpoint,
            reaches_others=reaches_others,
            outcome=found.value,
        )
        answer = LivenessAnswer(found.value, reaches_others)
        get_peer_link(self._instance).answer(message, answer)

    async def _call(self, ask: LivenessAsk) -> Liveness:
        entry = _get_view(self._instance).endpoints_by_id.get(ask.endpoint)
        pool = self._find_pool(entry.pool) if entry is not None else None
        if entry is None or pool is None:
            return Liveness.SILENT
        driver = DRIVERS.create(pool.kind, self._instance, entry.address)
        try:
            return await call_endpoint(
                self._instance, entry.address, driver, ask.boot_id
            )
        finally:
            driver.close()
