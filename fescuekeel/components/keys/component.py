"""Claim keys for this instance's callers, and answer claims as a home."""

import asyncio
from typing import Any

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.keys.const import (
    CLAIM_MAX_AGE_S,
    CLAIM_TIMEOUT_S,
    CLAIM_TRIES,
    DOMAIN,
    EXPIRE_PERIOD_S,
    MAX_CONCURRENT_PULLS,
    PULL_PERIOD_S,
    PULL_TIMEOUT_S,
)
from fescuekeel.components.keys.decision import KeyHome
from fescuekeel.components.keys.quorum import QuorumCounter
from fescuekeel.components.keys.recent_settles import RecentSettles
from fescuekeel.core import Actor, Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import (
    KeyAnswer,
    KeyClaim,
    KeyCopy,
    KeyPull,
    KeySettle,
    LiveList,
    PeerAuthenticated,
    PeerMessage,
)

__all__ = ["Keys"]


class Keys(Actor):
    """Claim idempotency keys for requests, and serve as a home of keys."""

    def __init__(self, instance: Instance) -> None:
        super().__init__(instance, DOMAIN)
        self._data_centre = instance.settings.instance.data_centre
        self._home = KeyHome(instance.id, self._data_centre)
        self._homes_by_request_id: dict[str, tuple[str, ...]] = {}
        self._recent_settles = RecentSettles()

    async def start(self) -> None:
        """Subscribe, and start to pull the claims of the other homes."""
        bus = self.instance.bus
        for kind in (KeyClaim, KeySettle, KeyPull, KeyCopy):
            bus.subscribe_peer(kind, self.post)
        bus.subscribe(LiveList, self.post)
        bus.subscribe(PeerAuthenticated, self._resend_settles)
        await super().start()
        live = bus.latest(LiveList)
        if live is not None:
            self.post(live)
        self.instance.keep_running(self._pull_until_ready, f"{DOMAIN}.pull")
        self.instance.keep_running(self._expire_forever, f"{DOMAIN}.expire")

    async def stop(self) -> None:
        """Hand this home's claims over to the other homes."""
        link = get_peer_link(self.instance)
        for id, copies in self._home.hand_over(self.instance.now()).items():
            for copy in copies:
                link.send(id, copy)
        await super().stop()

    # Called by the gateway.

    async def claim(
        self, key: str, request_id: str, digest: str, lifetime_s: float
    ) -> Result[None, Failure]:
        """Claim a key before the request may run.

        Fails with ``key_home_unreachable``, ``key_in_progress``, ``key_used``
        or ``key_mismatch``; nothing remains claimed then. After a success,
        the caller has to call ``settle``.
        """
        for _ in range(CLAIM_TRIES):
            result = await self._try_claim(key, request_id, digest, lifetime_s)
            if isinstance(result, Success):
                self.instance.metrics.count("keys.won")
                return result
            failure = result.failure()
            self.instance.metrics.count(f"keys.lost.{failure.kind}")
            if failure.kind is not ErrorKind.KEY_HOME_UNREACHABLE:
                break
            # Instances that choose different homes for a moment soon agree.
            await asyncio.sleep(failure.retry_after_s)
        return result

    async def _try_claim(
        self, key: str, request_id: str, digest: str, lifetime_s: float
    ) -> Result[None, Failure]:
        started_at = self.instance.now()
        homes = self._home.find_homes(key, started_at)
        if not homes:
            return Err(
                Failure(ErrorKind.KEY_HOME_UNREACHABLE, "no list of instances yet")
            )
        claim = KeyClaim(key, request_id, digest, int(lifetime_s * 1000), homes)
        self._recent_settles.forget(request_id)
        self._homes_by_request_id[request_id] = homes
        counter = QuorumCounter(len(homes))
        try:
            await self._ask_homes(claim, counter)
        except asyncio.CancelledError:
            self.settle(key, request_id, Ran.NO)
            raise
        if self.instance.now() - started_at > CLAIM_MAX_AGE_S:
            # Guards against a pause of this process: the claim may have
            # expired and the key been granted to another request.
            self.settle(key, request_id, Ran.NO)
            return Err(
                Failure(ErrorKind.KEY_HOME_UNREACHABLE, "claim too old to act on")
            )
        if counter.won:
            return Success(None)
        self.settle(key, request_id, Ran.NO)
        return Err(counter.get_failure())

    def settle(self, key: str, request_id: str, ran: Ran) -> None:
        """Release the key if the request did not run, else mark it used."""
        now = self.instance.now()
        homes = self._homes_by_request_id.pop(request_id, ())
        # Instances that have since become homes hold a copy of the claim.
        targets = dict.fromkeys([*homes, *self._home.find_homes(key, now)])
        link = get_peer_link(self.instance)
        settle = KeySettle(key, request_id, ran.value)
        for home in targets:
            link.send(home, settle)
            if home != self.instance.id:
                self._recent_settles.add(home, settle, now)

    def _resend_settles(self, peer: PeerAuthenticated) -> None:
        """Repeat settlements to a home that has connected anew.

        Guards against a key that stays claimed for minutes, since its
        settlement was lost with a connection.
        """
        home = peer.instance_id
        settles = self._recent_settles.list_for(home, self.instance.now())
        if not settles:
            return
        self.instance.metrics.count("keys.resettled", len(settles))
        link = get_peer_link(self.instance)
        for settle in settles:
            link.send(home, settle)

    async def _ask_homes(self, claim: KeyClaim, counter: QuorumCounter) -> None:
        # The tasks keep running once the claim is decided, so that every home
        # gets the claim before what follows on the same connection.
        tasks = [
            self.instance.spawn(self._ask_home(home, claim), f"{DOMAIN}.claim")
            for home in claim.homes
        ]
        for task in asyncio.as_completed(tasks):
            if counter.add(await task):
                return

    async def _ask_home(self, home: str, claim: KeyClaim) -> KeyAnswer | None:
        link = get_peer_link(self.instance)
        answer = await link.ask(home, claim, CLAIM_TIMEOUT_S)
        body = answer.value_or(None)
        return body if isinstance(body, KeyAnswer) else None

    # As a home of keys.

    async def handle(self, message: Any) -> None:
        """Handle one message."""
        now = self.instance.now()
        if isinstance(message, LiveList):
            was_ready = self._home.ready
            self._home.apply_list(message, now)
            self._log_ready(was_ready)
        elif isinstance(message, PeerMessage):
            self._handle_peer(message, now)

    def _handle_peer(self, message: PeerMessage, now: float) -> None:
        link = get_peer_link(self.instance)
        match message.body:
            case KeyClaim() as claim:
                answer = self._home.claim(claim, now)
                self.instance.metrics.count(f"keys.home.{answer.kind or 'granted'}")
                link.answer(message, answer)
            case KeySettle() as settle:
                self._home.settle(settle, now)
            case KeyPull() as pull:
                link.answer(message, self._home.handle_pull(message.sender, pull, now))
            case KeyCopy() as copy:
                self._home.apply_copy(message.sender, copy, now)

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            self._home.tick(self.instance.now())

    async def _pull_until_ready(self) -> None:
        while not self._home.ready:
            unsynced = self._home.list_unsynced()[:MAX_CONCURRENT_PULLS]
            await asyncio.gather(*(self._pull(id) for id in unsynced))
            await asyncio.sleep(0 if unsynced and self._home.ready else PULL_PERIOD_S)

    async def _pull(self, id: str) -> None:
        link = get_peer_link(self.instance)
        after = ""
        while True:
            query = KeyPull(self._data_centre, after)
            answer = await link.ask(id, query, PULL_TIMEOUT_S)
            copy = answer.value_or(None)
            if not isinstance(copy, KeyCopy):
                self.instance.metrics.count("keys.pull_failed")
                return
            was_ready = self._home.ready
            self._home.apply_copy(id, copy, self.instance.now())
            self._log_ready(was_ready)
            if not copy.more:
                return
            after = copy.records[-1].key

    def _log_ready(self, was_ready: bool) -> None:
        if self._home.ready and not was_ready:
            log_event("key_home_ready", instance=self.instance.id)
