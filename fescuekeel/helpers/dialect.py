"""What the product asks of the adapter that speaks a platform's dialect.

A dialect translates names, formats and calls; every decision stays with the
components that use it. It registers itself when its package is imported::

    DIALECTS.register("mine", MyDialect())
"""

import importlib
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.incarnation import UNTOLD_BORN_MS
from fescuekeel.helpers.published import (
    Configuration,
    EndpointRecord,
    PublishedItem,
    Weights,
)
from fescuekeel.helpers.settings import PlatformSettings

__all__ = [
    "DIALECTS",
    "AdapterVersion",
    "AnswerHead",
    "CallerHead",
    "Decoded",
    "Dialect",
    "DialectRegistry",
    "EndpointReport",
    "Header",
    "HttpCall",
    "OrderKind",
    "OrderReply",
    "SendHead",
    "SourceReply",
    "SourceStatus",
    "WeightOrder",
    "get_dialect",
]

Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class CallerHead:
    """What the head of a caller's request says.

    ``time_left_s`` is ``None`` where the caller set no limit. ``headers`` are
    those that go on to the endpoint unchanged. ``key_digest`` stands for the
    caller's key, empty without one. ``tokens`` counts those of the prompt and
    the most that may be made, ``None`` if the caller does not tell.
    """

    request_id: str
    headers: tuple[Header, ...]
    time_left_s: float | None = None
    weights: Weights | None = None
    prompt_tokens: int = 0
    resume_after: str = ""
    key_digest: bytes = b""
    tokens: int | None = None


@dataclass(frozen=True, slots=True)
class SendHead:
    """What the product adds to a request on its way to an endpoint.

    ``account`` is the name of the caller's client account, empty if none.
    """

    endpoint: str
    time_left_s: float
    priority: int | None = None
    version: int | None = None
    resume_after: str = ""
    account: str = ""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of an endpoint's answer says.

    ``not_run`` is the endpoint's word that the request did not run and will
    not. ``running`` and ``waiting`` are its load, where it tells.
    ``idle_s`` is how long it keeps an idle connection, ``None`` if unsaid.
    """

    not_run: bool
    signed: bool
    request_id: str
    misdirected: bool = False
    running: int | None = None
    waiting: int | None = None
    idle_s: float | None = None


class OrderKind(StrEnum):
    """Name what an endpoint is ordered to do with weights."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class WeightOrder:
    """An order to an endpoint; ``version`` ``None`` takes the newest one.

    The endpoint refuses it as busy unless it has taken ``after_orders`` orders
    since its start, whoever gave them; ``None`` leaves that open.
    """

    kind: OrderKind
    endpoint: str
    weights: Weights
    holder: str
    fence: int
    version: int | None = None
    after_orders: int | None = None


class OrderReply(StrEnum):
    """Name how an endpoint took an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    MALFORMED = "malformed"
    OTHER_ENDPOINT = "other_endpoint"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """What an endpoint says of itself, some hundred milliseconds late.

    ``pending`` are the adapters on their way to it, which take places too.
    ``born_ms`` tells which start of the endpoint wrote it. ``orders_taken``
    counts the orders that it had taken by then since that start.
    """

    held: dict[Weights, int]
    pending: frozenset[Weights]
    busy: bool
    running: int
    waiting: int
    kv_used: int
    kv_total: int
    born_ms: int = UNTOLD_BORN_MS
    orders_taken: int = 0


class SourceStatus(StrEnum):
    """Name how the platform's store answered a reading call."""

    OK = "ok"
    ABSENT = "absent"
    HISTORY_LOST = "history_lost"
    TURNED_AWAY = "turned_away"


@dataclass(frozen=True, slots=True)
class SourceReply:
    """The answer to a reading call.

    ``revision`` is the store's at the time of the answer and ``more`` says
    that another page follows the last key.
    """

    status: SourceStatus
    items: tuple[PublishedItem, ...] = ()
    revision: int = 0
    more: bool = False


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """A new version of an adapter that was named."""

    weights: Weights
    version: int


Decoded = Configuration | EndpointRecord | AdapterVersion


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A call in the platform's format, ready to be sent."""

    method: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class Dialect(Protocol):
    """Translate between the product's types and a platform's formats.

    Functions that read foreign bytes raise ``ValueError`` with a message that
    names the field when these make no sense.
    """

    ready_path: str

    def read_caller(self, headers: Mapping[str, str]) -> CallerHead:
        """Return what a caller's request says."""

    def write_request(self, caller: CallerHead, send: SendHead) -> tuple[Header, ...]:
        """Return the headers of a request to an endpoint."""

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Return what an endpoint's answer says."""

    def write_refusal(self, request_id: str, kind: ErrorKind) -> tuple[Header, ...]:
        """Return the headers of an answer of our own."""

    def make_order(self, order: WeightOrder) -> HttpCall:
        """Return the call that gives an order."""

    def read_order_reply(self, status: int) -> OrderReply:
        """Return how an order was taken."""

    def make_report_call(self, endpoint: str) -> HttpCall:
        """Return the call that asks an endpoint for its report."""

    def read_report(self, body: bytes) -> EndpointReport:
        """Return an endpoint's report."""

    def make_list_call(self, after_key: str) -> HttpCall:
        """Return the call that lists a page of what is published."""

    def make_watch_call(self, after_revision: int, wait_s: float) -> HttpCall:
        """Return the call that waits for changes."""

    def read_source_reply(self, status: int, body: bytes) -> SourceReply:
        """Return the store's answer."""

    def decode(self, item: PublishedItem) -> Decoded | None:
        """Return what an item says, ``None`` if it is none of ours."""

    def classify(self, key: str) -> type | None:
        """Return which of the decoded types a key holds."""


class DialectRegistry:
    """Hold the dialects by name."""

    def __init__(self) -> None:
        self.dialects_by_name: dict[str, Dialect] = {}

    def register(self, name: str, dialect: Dialect) -> None:
        """Add one dialect; a name is registered once."""
        if name in self.dialects_by_name:
            raise ValueError(f"dialect {name!r} is registered twice")
        self.dialects_by_name[name] = dialect


DIALECTS = DialectRegistry()


def get_dialect(platform: PlatformSettings) -> Dialect:
    """Return the dialect that the settings name; import it if need be."""
    if platform.dialect not in DIALECTS.dialects_by_name:
        if platform.dialect_path and platform.dialect_path not in sys.path:
            # At the end, so that nothing in the folder hides a known module.
            sys.path.append(platform.dialect_path)
        importlib.import_module(platform.dialect_module)
    return DIALECTS.dialects_by_name[platform.dialect]
