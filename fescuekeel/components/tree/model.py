"""Models of the published settings, resolved for one request."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from fescuekeel.errors import Failure
from fescuekeel.messages import AdapterRef

__all__ = ["Intent", "Limit", "Policy", "Pool", "PoolKind", "TreeInForce"]


class PoolKind(StrEnum):
    """The driver that a pool's endpoints need."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of interchangeable endpoints.

    ``fenced`` says that they reject orders with an outdated fencing token.
    ``slots`` is the number of adapters that an endpoint holds at a time,
    ``max_running`` the number of requests that a step batches efficiently,
    ``step_s`` the duration of a step and ``load_s`` that of one adapter load
    at full speed, both in seconds.
    """

    name: str
    kind: PoolKind
    fenced: bool = False
    slots: int = 8
    max_running: int = 16
    step_s: float = 0.008
    load_s: float = 0.5


@dataclass(frozen=True, slots=True)
class Limit:
    """The limits of one level, shared by everything below it.

    ``scope`` names the level, such as ``shop/service``. Zero means no limit.
    """

    scope: str
    rate_per_s: float = 0.0
    max_in_flight: int = 0


@dataclass(frozen=True, slots=True)
class Policy:
    """The settings that apply to one request.

    Urgency 0 is the most urgent. ``answer_s`` is the time limit for an answer
    in seconds. ``retry_share`` is the retry budget as a share of the
    service's traffic. ``rate_per_s`` and ``max_in_flight`` of zero mean no
    limit; ``limits`` holds those of each level that sets any, the shop's
    first. ``stall_weight`` and ``batch_weight`` are the operator's weights of
    load stalls and batch efficiency.
    """

    shop: str
    service: str
    pool: Pool
    urgency: int
    answer_s: float
    repeatable: bool
    stall_weight: float
    batch_weight: float
    max_in_flight: int
    rate_per_s: float
    retry_share: float
    max_tokens: int
    adapter: AdapterRef
    limits: tuple[Limit, ...] = ()


class Intent(Protocol):
    """The settings of one revision of the tree."""

    @property
    def revision(self) -> int:
        """Return the revision."""

    @property
    def pools_by_name(self) -> dict[str, Pool]:
        """Return all pools."""

    def authenticate(self, token: str) -> str | None:
        """Return the shop that a token belongs to."""

    def resolve(
        self, shop: str, service: str, adapter: str, version: str
    ) -> Result[Policy, Failure]:
        """Return the policy for a request.

        An empty version selects the adapter's current one; an empty adapter
        is valid for plain services only. Fails with
        ``unknown_service``, ``unknown_adapter`` or ``unknown_version``.
        """


@dataclass(frozen=True, slots=True)
class TreeInForce:
    """State on the bus: the revision in force on this instance."""

    intent: Intent
