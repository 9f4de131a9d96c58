"""Request units of limits from their homes, and grant them as a home."""

import asyncio
import random

from fescuekeel.components.allowance.bucket import TokenBucket
from fescuekeel.components.allowance.const import (
    ASK_TIMEOUT_S,
    DOMAIN,
    ENDPOINT_PREFIX,
    ENDPOINT_WINDOW_S,
    HOME_BACKOFF_S,
    LOST_DETECTION_MARGIN_S,
    LOST_INSTANCE_TTL_S,
    MAX_ACCOUNTS,
    MAX_ADMISSION_WAIT_S,
    MAX_HOMES_ASKED,
    RECHECK_S,
)
from fescuekeel.components.allowance.home import Grant, LimitHome
from fescuekeel.components.allowance.limit import EndpointLimit, RateLimit
from fescuekeel.components.allowance.local_allowance import (
    Admit,
    AskHome,
    LocalAllowance,
    Refuse,
)
from fescuekeel.components.allowance.partition import PartitionShare
from fescuekeel.components.allowance.permits import Permits
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import BEGINNING, Catalog, ClientAccount
from fescuekeel.messages import (
    AllowanceAnswer,
    AllowanceAsk,
    MemberView,
    PeerMessage,
)
from fescuekeel.util import rendezvous

__all__ = ["Allowances"]

MS_PER_S = 1000


class Allowances:
    """Own the units granted to this instance, and its grants as a home."""

    def __init__(self, instance: Instance) -> None:
        bounds = instance.settings.forwarding
        lost_ttl_s = LOST_INSTANCE_TTL_S
        if bounds.revoked_bound_s > 0:
            lost_ttl_s = bounds.revoked_bound_s + LOST_DETECTION_MARGIN_S
        self._instance = instance
        self._share = PartitionShare(lost_ttl_s)
        self._home = LimitHome(instance.now(), bounds.limit_window_s)
        self._endpoint_home = LimitHome(
            instance.now(), ENDPOINT_WINDOW_S, prefetch_share=0.0
        )
        self.permits = Permits(
            instance,
            self._list_reachable_homes,
            self._record_home_silent,
            lambda: self._share.count_instances(instance.now()),
        )
        self._local_by_name: dict[str, LocalAllowance] = {}
        self._queries_by_name: dict[str, asyncio.Task[Admit | AskHome | Refuse]] = {}
        self._accounts_by_name: dict[str, ClientAccount] = {}
        self._homes_by_name: dict[str, list[str]] = {}
        self._backoff_until_by_id: dict[str, float] = {}

    async def start(self) -> None:
        """Subscribe to peers' queries, members and the catalog."""
        bus = self._instance.bus
        bus.subscribe_peer(AllowanceAsk, self._handle_ask)
        self.permits.start()
        bus.subscribe(MemberView, self._handle_members)
        bus.subscribe(Catalog, self._handle_catalog)
        self._handle_members(bus.latest(MemberView) or MemberView())
        self._handle_catalog(bus.latest(Catalog) or Catalog(BEGINNING, None, {}, {}))
        self._instance.metrics.add_gauge("allowance_left", self._read_available)

    async def stop(self) -> None:
        """Do nothing: the instance cancels the tasks."""

    # Admission of requests.

    async def admit(
        self, request_id: str, account: ClientAccount, price: float
    ) -> Failure | None:
        """Deduct a request's price from its account's limit, or refuse it."""
        if account.rate_per_s <= 0 or price <= 0:
            return None
        decision = await self._spend(account, price)
        if isinstance(decision, Refuse) and decision.wait_s <= MAX_ADMISSION_WAIT_S:
            await asyncio.sleep(decision.wait_s)
            decision = await self._spend(account, price)
        if isinstance(decision, Refuse):
            return self._refuse(request_id, account, price, decision.wait_s)
        return None

    async def take(self, limit: EndpointLimit) -> float:
        """Take one request from an endpoint's limit.

        Returns zero, or how many seconds to wait until there may be room.
        """
        decision = await self._spend(limit, 1.0)
        return decision.wait_s if isinstance(decision, Refuse) else 0.0

    def refund(self, limit: RateLimit, price: float) -> None:
        """Return the price of a request that did not run."""
        local = self._local_by_name.get(limit.name)
        if local is not None:
            local.refund(price, self._instance.now())

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
            held=round(self._local_by_name[account.name].units),
            rate_per_s=round(account.rate_per_s),
            home=home or "",
            wait_ms=round(wait_s * MS_PER_S),
            outcome="refused",
        )
        # Jitter: callers refused at the same time must not retry together.
        retry_after_s = wait_s * random.uniform(1.0, 2.0)
        return Failure(
            ErrorKind.RATE_LIMITED, account.name, retry_after_s=retry_after_s
        )

    def _get_local(self, limit: RateLimit, now: float) -> LocalAllowance:
        local = self._local_by_name.get(limit.name)
        if local is None:
            if len(self._local_by_name) >= MAX_ACCOUNTS:
                del self._local_by_name[next(iter(self._local_by_name))]
            local = LocalAllowance(TokenBucket(0.0, 0.0, 0.0, now))
            self._local_by_name[limit.name] = local
        local.set_limit(limit, self._share.count_instances(now), now)
        return local

    async def _spend(self, limit: RateLimit, price: float) -> Admit | Refuse:
        """Deduct a price; await at most two queries to the account's home.

        The first may be another request's, whose grant may cover this one,
        too. The second is this request's own.
        """
        decision = self._spend_local(limit, price)
        pending = self._queries_by_name.get(limit.name)
        if isinstance(decision, AskHome) and pending is not None and not pending.done():
            await asyncio.wait([pending])
            decision = self._spend_local(limit, price)
        if isinstance(decision, AskHome):
            decision = await self._ask_home_and_spend(limit, price)
        if isinstance(decision, AskHome):
            # The price exceeds what the home grants at once.
            return Refuse(RECHECK_S)
        return decision

    def _spend_local(self, limit: RateLimit, price: float) -> Admit | AskHome | Refuse:
        now = self._instance.now()
        return self._get_local(limit, now).spend(price, now)

    async def _ask_home_and_spend(
        self, limit: RateLimit, price: float
    ) -> Admit | AskHome | Refuse:
        """Ask the account's home, and deduct the price from its grant at once.

        Guards against another request that spends the grant before the one
        that asked for it runs again.
        """

        async def query() -> Admit | AskHome | Refuse:
            try:
                await self._ask_home(limit, price)
                return self._spend_local(limit, price)
            finally:
                if self._queries_by_name.get(limit.name) is task:
                    del self._queries_by_name[limit.name]

        task = self._instance.spawn(query(), f"{DOMAIN}.ask")
        self._queries_by_name[limit.name] = task
        try:
            # Others may await the query of a request that is cancelled.
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(lambda _: self._refund_query(task, limit, price))
            raise

    def _refund_query(
        self,
        query: asyncio.Task[Admit | AskHome | Refuse],
        limit: RateLimit,
        price: float,
    ) -> None:
        if not query.cancelled() and isinstance(query.result(), Admit):
            self.refund(limit, price)

    async def _ask_home(self, limit: RateLimit, price: float) -> None:
        """Ask the home, or its deputies in turn if it does not answer."""
        local = self._get_local(limit, self._instance.now())
        for deputy, id in enumerate(self._list_reachable_homes(limit.name)):
            asked_at = self._instance.now()
            grant = await self._ask_instance(id, limit, price, bool(deputy))
            if grant is not None:
                local.apply_grant(grant, asked_at)
                return
        local.start_fallback(self._instance.now())

    async def _ask_instance(
        self, home: str, limit: RateLimit, price: float, deputy: bool
    ) -> Grant | None:
        if home == self._instance.id:
            return self._grant(limit, price, deputy)
        self._instance.metrics.count("allowance.asked")
        query = AllowanceAsk(limit.name, price, deputy, _get_endpoint_rate(limit))
        link = get_peer_link(self._instance)
        answer = await link.ask(home, query, ASK_TIMEOUT_S)
        body = answer.value_or(None)
        if isinstance(body, AllowanceAnswer):
            return Grant(body.units, body.wait_ms / MS_PER_S)
        self._record_home_silent(limit.name, home)
        return None

    def _record_home_silent(self, name: str, home: str) -> None:
        self._backoff_until_by_id[home] = self._instance.now() + HOME_BACKOFF_S
        self._instance.metrics.count("allowance.home_silent")
        log_event("allowance_home_silent", account=name, home=home)

    # This instance as the home of accounts.

    def _list_reachable_homes(self, name: str) -> list[str]:
        """Return the home and its deputies, without those in backoff."""
        now = self._instance.now()
        return [
            id
            for id in self._rank_homes(name)
            if now >= self._backoff_until_by_id.get(id, float("-inf"))
        ]

    def _find_home(self, name: str) -> str | None:
        return next(iter(self._rank_homes(name)), None)

    def _rank_homes(self, name: str) -> list[str]:
        """Return home and deputies, cached until the members change."""
        ranked = self._homes_by_name.get(name)
        if ranked is None:
            if len(self._homes_by_name) >= MAX_ACCOUNTS:
                self._homes_by_name.clear()
            all_ranked = rendezvous.rank(f"{DOMAIN}/{name}", self._share.reachable)
            ranked = self._homes_by_name[name] = all_ranked[:MAX_HOMES_ASKED]
        return ranked

    def _grant(self, limit: RateLimit, needed: float, deputy: bool = False) -> Grant:
        now = self._instance.now()
        deputy = deputy or self._find_home(limit.name) != self._instance.id
        share = self._share.compute(now)
        is_account = isinstance(limit, ClientAccount)
        home = self._home if is_account else self._endpoint_home
        return home.grant(limit, needed, now, share, deputy)

    def _handle_ask(self, message: PeerMessage) -> None:
        assert isinstance(message.body, AllowanceAsk)
        limit = self._find_limit(message.body)
        grant = Grant(0.0, ASK_TIMEOUT_S)
        if limit is not None and limit.rate_per_s <= 0:
            # The limit was lifted; the asking instance does not know it yet.
            grant = Grant(message.body.needed)
        elif limit is not None:
            grant = self._grant(limit, message.body.needed, message.body.deputy)
        answer = AllowanceAnswer(grant.units, int(grant.wait_s * MS_PER_S))
        get_peer_link(self._instance).answer(message, answer)

    def _find_limit(self, ask: AllowanceAsk) -> RateLimit | None:
        """Return the limit asked for; that of an endpoint is in the query.

        The home may not have received it yet.
        """
        if ask.rate_per_s > 0:
            endpoint = ask.account.removeprefix(ENDPOINT_PREFIX)
            return EndpointLimit(endpoint, ask.rate_per_s)
        return self._accounts_by_name.get(ask.account)

    def _handle_members(self, view: MemberView) -> None:
        now = self._instance.now()
        before = self._share.reachable
        self._share.update_members(view.members_by_id, set(view.left), now)
        if self._share.reachable == before:
            return
        self._homes_by_name.clear()
        self.permits.drop_instances(before - self._share.reachable)
        for home in (self._home, self._endpoint_home):
            own = [
                name
                for name in home.list_names()
                if self._find_home(name) == self._instance.id
            ]
            home.retain(own, now)
        for id in self._backoff_until_by_id.keys() - self._share.reachable:
            del self._backoff_until_by_id[id]

    def _handle_catalog(self, catalog: Catalog) -> None:
        configuration = catalog.configuration
        accounts = configuration.accounts_by_digest if configuration else None
        if accounts is None:
            return
        self._accounts_by_name = {item.name: item for item in accounts.values()}
        for name in self._local_by_name.keys() - self._accounts_by_name.keys():
            if not name.startswith(ENDPOINT_PREFIX):
                del self._local_by_name[name]

    def _read_available(self) -> dict[str, float]:
        now = self._instance.now()
        return {
            name: self._home.read_available(name, now)
            for name in self._home.list_names()
        }


def _get_endpoint_rate(limit: RateLimit) -> float:
    """Return the rate of an endpoint's limit, zero for a client account."""
    return limit.rate_per_s if isinstance(limit, EndpointLimit) else 0.0
