"""What the gateway asks of the idempotency keys."""

from typing import Protocol, cast

from returns.result import Result

from fescuekeel.core import Instance
from fescuekeel.errors import Failure, Ran

__all__ = ["KEYS_DOMAIN", "KeyLink", "get_key_link"]

KEYS_DOMAIN = "keys"


class KeyLink(Protocol):
    """Claim idempotency keys and settle them."""

    async def claim(
        self, key: str, request_id: str, digest: str, lifetime_s: float
    ) -> Result[None, Failure]:
        """Claim a key for one request before it may run."""

    def settle(self, key: str, request_id: str, ran: Ran) -> None:
        """Tell what became of the request that claimed the key."""


def get_key_link(instance: Instance) -> KeyLink:
    """Return the keys of an instance."""
    return cast(KeyLink, instance.components_by_domain[KEYS_DOMAIN])
