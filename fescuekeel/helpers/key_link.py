"""Interface of the keys component to the gateway."""

from typing import Protocol, cast

from returns.result import Result

from fescuekeel.core import Instance
from fescuekeel.errors import Failure, Ran

__all__ = ["KEYS_DOMAIN", "IdempotencyKeys", "get_key_link"]

KEYS_DOMAIN = "keys"


class IdempotencyKeys(Protocol):
    """Claim and settle idempotency keys."""

    async def claim(
        self, key: str, request_id: str, digest: str, lifetime_s: float
    ) -> Result[None, Failure]:
        """Claim a key for one request before it may run."""

    def settle(self, key: str, request_id: str, ran: Ran) -> None:
        """Report whether the request that claimed the key has run."""


def get_key_link(instance: Instance) -> IdempotencyKeys:
    """Return the keys component of an instance."""
    return cast(IdempotencyKeys, instance.components_by_domain[KEYS_DOMAIN])
