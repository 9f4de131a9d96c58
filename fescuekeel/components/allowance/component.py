"""Ask accounts' homes for allowances, and answer as the home of some."""

import asyncio
import random

from fescuekeel.components.allowance.bucket import TokenBucket
from fescuekeel.components.allowance.const import (
    ASK_TIMEOUT_S,
    DOMAIN,
    HOME_SILENT_S,
    HOMES,
    LOST_MARGIN_S,
    LOST_MEMORY_S,
    MAX_ACCOUNTS,
    WORTH_WAITING_S,
)
from fescuekeel.components.allowance.fleet import FleetShare
from fescuekeel.components.allowance.holding import AskHome, Holding, Refuse
from fescuekeel.components.allowance.home import AccountHome, Grant
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import Catalog, ClientAccount
from fescuekeel.messages import (
    AllowanceAnswer,
    AllowanceAsk,
    MemberView,
    PeerMessage,
)
from fescuekeel.util import rendezvous

__all__ = ["Allowances"]

MS = 1000


class Allowances:
    """Own what this instance was granted, and what it grants as a home."""

    def __init__(self, instance: Instance) -> None:
        bounds = instance.settings.forwarding
        memory_s = LOST_MEMORY_S
        if bounds.revoked_bound_s > 0:
            memory_s = bounds.revoked_bound_s + LOST_MARGIN_S
        self._instance = instance
        self._fleet = FleetShare(memory_s)
        self._home = AccountHome(instance.now(), bounds.limit_window_s)
        self._holdings_by_name: dict[str, Holding] = {}
        self._asking_by_name: dict[str, asyncio.Task[None]] = {}
        self._accounts_by_name: dict[str, ClientAccount] = {}
        self._homes_by_name: dict[str, list[str]] = {}
        self._silent_until_by_id: dict[str, float] = {}

    async def start(self) -> None:
        """Listen to peers, and to what changes."""
        bus = self._instance.bus
        bus.subscribe_peer(AllowanceAsk, self._answer)
        bus.subscribe(MemberView, self._note_members)
        bus.subscribe(Catalog, self._note_catalog)
        self._note_members(bus.latest(MemberView) or MemberView())
        self._note_catalog(bus.latest(Catalog) or Catalog(0, None, {}, {}))
        self._instance.metrics.add_gauge("allowance_left", self._read_room)

    async def stop(self) -> None:
        """End; the tasks are the instance's."""

    # What requests ask for.

    async def admit(
        self, request_id: str, account: ClientAccount, price: float
    ) -> Failure | None:
        """Take a request's price from its account's limit, or refuse it."""
        if account.rate_per_s <= 0 or price <= 0:
            return None
        waited = False
        while True:
            now = self._instance.now()
            holding = self._get_holding(account, now)
            decided = holding.spend(price, now)
            if isinstance(decided, AskHome):
                await self._ask(account, price, holding)
                continue
            if not isinstance(decided, Refuse):
                return None
            if waited or decided.wait_s > WORTH_WAITING_S:
                return self._refuse(request_id, account, price, decided.wait_s)
            waited = True
            await asyncio.sleep(decided.wait_s)

    def give_back(self, account: ClientAccount, price: float) -> None:
        """Take back the price of a request that did not run."""
        holding = self._holdings_by_name.get(account.name)
        if holding is not None:
            holding.give_back(price, self._instance.now())

    def _refuse(
        self, request_id: str, account: ClientAccount, price: float, wait_s: float
    ) -> Failure:
        self._instance.metrics.count("allowance.refused")
        home = self._find_home(account.name)
        log_event(
            "allowance_refused",
            request_id=request_id,
            account=account.name,
            price=round(price),
            held=round(self._holdings_by_name[account.name].units),
            rate_per_s=round(account.rate_per_s),
            home=home or "",
            wait_ms=round(wait_s * MS),
            outcome="refused",
        )
        # Spread, so that all who were refused at once don't come at once.
        retry_after_s = wait_s * random.uniform(1.0, 2.0)
        return Failure(
            ErrorKind.RATE_LIMITED, account.name, retry_after_s=retry_after_s
        )

    def _get_holding(self, account: ClientAccount, now: float) -> Holding:
        holding = self._holdings_by_name.get(account.name)
        if holding is None:
            if len(self._holdings_by_name) >= MAX_ACCOUNTS:
                del self._holdings_by_name[next(iter(self._holdings_by_name))]
            holding = Holding(TokenBucket(0.0, 0.0, 0.0, now))
            self._holdings_by_name[account.name] = holding
        holding.change(account, self._fleet.count(now), now)
        return holding

    async def _ask(
        self, account: ClientAccount, price: float, holding: Holding
    ) -> None:
        """Ask the account's home; requests that come meanwhile wait along."""
        asking = self._asking_by_name.get(account.name)
        if asking is None:
            work = self._ask_home(account, price, holding)
            asking = self._instance.spawn(work, f"{DOMAIN}.ask")
            self._asking_by_name[account.name] = asking
            asking.add_done_callback(
                lambda _: self._asking_by_name.pop(account.name, None)
            )
        # A request that is given up must not end the question of the others.
        await asyncio.shield(asking)

    async def _ask_home(
        self, account: ClientAccount, price: float, holding: Holding
    ) -> None:
        """Ask the home, or its deputy while the home does not answer."""
        for deputy, id in enumerate(self._list_homes(account.name)):
            asked = self._instance.now()
            grant = await self._ask_one(id, account, price, bool(deputy))
            if grant is not None:
                holding.take_grant(grant, asked)
                return
        holding.note_silent(self._instance.now())

    async def _ask_one(
        self, home: str, account: ClientAccount, price: float, deputy: bool
    ) -> Grant | None:
        if home == self._instance.id:
            return self._grant(account, price, deputy)
        self._instance.metrics.count("allowance.asked")
        question = AllowanceAsk(account.name, price, deputy)
        link = get_peer_link(self._instance)
        answer = await link.ask(home, question, ASK_TIMEOUT_S)
        body = answer.value_or(None)
        if isinstance(body, AllowanceAnswer):
            return Grant(body.units, body.wait_ms / MS)
        self._silent_until_by_id[home] = self._instance.now() + HOME_SILENT_S
        self._instance.metrics.count("allowance.home_silent")
        log_event("allowance_home_silent", account=account.name, home=home)
        return None

    # The home of accounts.

    def _list_homes(self, name: str) -> list[str]:
        """Return the home and its deputy, less those that were just silent."""
        now = self._instance.now()
        return [
            id
            for id in self._rank_homes(name)
            if now >= self._silent_until_by_id.get(id, float("-inf"))
        ]

    def _find_home(self, name: str) -> str | None:
        return next(iter(self._rank_homes(name)), None)

    def _rank_homes(self, name: str) -> list[str]:
        """Return the first in rank, remembered while the members stay."""
        ranked = self._homes_by_name.get(name)
        if ranked is None:
            if len(self._homes_by_name) >= MAX_ACCOUNTS:
                self._homes_by_name.clear()
            all_ranked = rendezvous.rank(f"{DOMAIN}/{name}", self._fleet.present)
            ranked = self._homes_by_name[name] = all_ranked[:HOMES]
        return ranked

    def _grant(
        self, account: ClientAccount, needed: float, deputy: bool = False
    ) -> Grant:
        now = self._instance.now()
        deputy = deputy or self._find_home(account.name) != self._instance.id
        share = self._fleet.read(now)
        return self._home.grant(account, needed, now, share, deputy)

    def _answer(self, message: PeerMessage) -> None:
        assert isinstance(message.body, AllowanceAsk)
        account = self._accounts_by_name.get(message.body.account)
        grant = Grant(0.0, ASK_TIMEOUT_S)
        if account is not None and account.rate_per_s <= 0:
            # The limit was lifted, which the one who asks has not heard yet.
            grant = Grant(message.body.needed)
        elif account is not None:
            grant = self._grant(account, message.body.needed, message.body.deputy)
        answer = AllowanceAnswer(grant.units, int(grant.wait_s * MS))
        get_peer_link(self._instance).answer(message, answer)

    def _note_members(self, view: MemberView) -> None:
        now = self._instance.now()
        before = self._fleet.present
        self._fleet.take(view.members_by_id, set(view.left), now)
        if self._fleet.present == before:
            return
        self._homes_by_name.clear()
        own = [
            name
            for name in self._home.list_names()
            if self._find_home(name) == self._instance.id
        ]
        self._home.change_members(own, now)
        for id in self._silent_until_by_id.keys() - self._fleet.present:
            del self._silent_until_by_id[id]

    def _note_catalog(self, catalog: Catalog) -> None:
        configuration = catalog.configuration
        accounts = configuration.accounts_by_digest if configuration else None
        if accounts is None:
            return
        self._accounts_by_name = {item.name: item for item in accounts.values()}
        for name in self._holdings_by_name.keys() - self._accounts_by_name.keys():
            del self._holdings_by_name[name]

    def _read_room(self) -> dict[str, float]:
        now = self._instance.now()
        return {
            name: self._home.read_room(name, now) for name in self._home.list_names()
        }
