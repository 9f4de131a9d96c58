"""Let requests in by their client accounts: keys, their age, and limits."""

from typing import cast

from fescuekeel.components.allowance import DOMAIN as ALLOWANCE_DOMAIN, Allowances
from fescuekeel.components.forward.accounts import (
    AccountBounds,
    find_account,
    is_too_old,
)
from fescuekeel.core import Instance
from fescuekeel.errors import Failure
from fescuekeel.helpers.dialect import CallerHead
from fescuekeel.helpers.freshness import Freshness
from fescuekeel.helpers.published import ClientAccount, Configuration, Route

__all__ = ["AccountGate"]


class AccountGate:
    """Look accounts up and take what requests cost from their limits."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._freshness = Freshness()
        self._allowances = cast(
            Allowances, instance.components_by_domain[ALLOWANCE_DOMAIN]
        )

    def start(self) -> None:
        """Take the catalog's word of how fresh it is, from now on."""
        self._freshness = self._instance.bus.latest(Freshness) or self._freshness

    def is_stale(self, configuration: Configuration) -> bool:
        """Tell whether requests with keys have to be turned away."""
        bounds = self._instance.settings.forwarding
        return is_too_old(configuration, self._read_age_s(), bounds.revoked_bound_s)

    def find(
        self, configuration: Configuration, route: Route, head: CallerHead
    ) -> ClientAccount | Failure | None:
        """Return whose request it is, by what is in force now."""
        bounds = self._instance.settings.forwarding
        return find_account(
            configuration,
            route,
            head.key_digest,
            self._read_age_s(),
            AccountBounds(bounds.change_bound_s, bounds.revoked_bound_s),
        )

    async def admit(self, account: ClientAccount, head: CallerHead) -> Failure | None:
        """Take a request's price from its account's limit, or refuse it."""
        price = account.price(head.tokens)
        return await self._allowances.admit(head.request_id, account, price)

    def give_back(self, account: ClientAccount, head: CallerHead) -> None:
        """Take back the price of a request that did not run."""
        self._allowances.give_back(account, account.price(head.tokens))

    def _read_age_s(self) -> float:
        return self._freshness.read_age_s(self._instance.now())
