"""Admission of requests by client account: authentication and limits."""

from typing import cast

from fescuekeel.components.allowance import DOMAIN as ALLOWANCE_DOMAIN, Allowances
from fescuekeel.components.forward.accounts import (
    AccountBounds,
    find_account,
    is_configuration_stale,
)
from fescuekeel.core import Instance
from fescuekeel.errors import Failure
from fescuekeel.helpers.dialect import CallerMetadata
from fescuekeel.helpers.freshness import Freshness
from fescuekeel.helpers.published import ClientAccount, Configuration, Route

__all__ = ["AccountGate"]


class AccountGate:
    """Authenticate requests and charge them to their accounts' limits."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._freshness = Freshness()
        self._allowances = cast(
            Allowances, instance.components_by_domain[ALLOWANCE_DOMAIN]
        )

    def start(self) -> None:
        """Use the catalog's freshness, which it updates in place."""
        self._freshness = self._instance.bus.latest(Freshness) or self._freshness

    def is_stale(self, configuration: Configuration) -> bool:
        """Return whether requests with keys must be rejected."""
        bounds = self._instance.settings.forwarding
        return is_configuration_stale(
            configuration, self._read_age_s(), bounds.revoked_bound_s
        )

    def find(
        self, configuration: Configuration, route: Route, metadata: CallerMetadata
    ) -> ClientAccount | Failure | None:
        """Authenticate a request; return its account or a rejection."""
        bounds = self._instance.settings.forwarding
        return find_account(
            configuration,
            route,
            metadata.key_digest,
            self._read_age_s(),
            AccountBounds(bounds.change_bound_s, bounds.revoked_bound_s),
        )

    async def admit(
        self, account: ClientAccount, metadata: CallerMetadata
    ) -> Failure | None:
        """Charge a request to its account's limit, or reject it."""
        price = account.price(metadata.tokens)
        return await self._allowances.admit(metadata.request_id, account, price)

    def refund(self, account: ClientAccount, metadata: CallerMetadata) -> None:
        """Refund a request that was not sent."""
        self._allowances.refund(account, account.price(metadata.tokens))

    def _read_age_s(self) -> float:
        return self._freshness.read_age_s(self._instance.now())
