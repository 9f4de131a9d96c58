"""Interface that a platform integration implements.

A dialect only translates names, formats and calls; it takes no decisions. It
registers itself when its package is imported::

    DIALECTS.register("mine", MyDialect())
"""

import importlib
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.correlation import Correlation
from fescuekeel.helpers.incarnation import UNKNOWN_BORN_MS
from fescuekeel.helpers.published import (
    Configuration,
    EndpointRecord,
    PublishedItem,
    Weights,
)
from fescuekeel.helpers.settings import PlatformSettings

__all__ = [
    "DIALECTS",
    "MAX_ORDER_REPLY_BYTES",
    "MAX_REPORT_BYTES",
    "AdapterVersion",
    "CallerMetadata",
    "DecodedItem",
    "Dialect",
    "DialectRegistry",
    "EndpointReport",
    "ForwardMetadata",
    "Header",
    "HttpCall",
    "OrderKind",
    "OrderReply",
    "ResponseMetadata",
    "StoreReply",
    "StoreStatus",
    "WeightOrder",
    "get_dialect",
]

Header = tuple[str, str]

# The longest bodies, by what they may hold: a report lists at most some
# thousand adapters and runs, an order's reply is a few words.
MAX_REPORT_BYTES = 512 * 1024
MAX_ORDER_REPLY_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class CallerMetadata:
    """Metadata parsed from the headers of a caller's request.

    ``time_left_s`` is ``None`` if the caller set no deadline. ``headers`` are
    forwarded to the endpoint unchanged. ``key_digest`` is the digest of the
    caller's key, empty without one. ``tokens`` is the number of prompt tokens
    plus the maximum number of output tokens, ``None`` if not given.
    ``resume_after`` is the id of the last event that a caller has of a stream
    that it resumes, and ``resumes`` the id of the attempt that brought
    the stream's first event; both are empty otherwise. ``prompt_parts`` are
    the ids of the parts of the prompt that other requests may share, in order.
    """

    request_id: str
    headers: tuple[Header, ...]
    time_left_s: float | None = None
    weights: Weights | None = None
    prompt_tokens: int = 0
    resume_after: str = ""
    key_digest: bytes = b""
    tokens: int | None = None
    resumes: str = ""
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ForwardMetadata:
    """Metadata added to a request that is forwarded to an endpoint.

    ``account`` is the name of the caller's client account, empty if none.
    """

    endpoint: str
    time_left_s: float
    priority: int | None = None
    version: int | None = None
    resume_after: str = ""
    account: str = ""


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata parsed from the headers of an endpoint's response.

    With ``not_run`` the endpoint guarantees that the request has not run and
    will not. ``signed`` says that the response has the platform's server
    stamp. ``running`` and ``waiting`` are the endpoint's load, if given.
    ``keep_alive_s`` is its keep-alive timeout, ``None`` if not given, and
    ``limit_per_s`` the requests per second that it takes from all instances
    together, ``None`` if it has no limit. ``max_rejections_per_s`` are the
    rejections per second beyond which it falls over, ``None`` if it names no
    number. ``leaving`` says that the endpoint leaves. ``retry_after_s`` is how
    long an endpoint that turned the request away wants nothing from this
    instance: ``None`` if it names no time, and NaN if that is no number.
    """

    not_run: bool
    signed: bool
    request_id: str
    misdirected: bool = False
    running: int | None = None
    waiting: int | None = None
    keep_alive_s: float | None = None
    limit_per_s: float | None = None
    max_rejections_per_s: float | None = None
    leaving: bool = False
    retry_after_s: float | None = None

    @property
    def asks_for_back_off(self) -> bool:
        """Return whether the endpoint names a time; NaN is none."""
        return self.retry_after_s is not None and self.retry_after_s > 0


class OrderKind(StrEnum):
    """Operation on weights that an endpoint is ordered to perform."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class WeightOrder:
    """Order to an endpoint; ``version`` ``None`` means the newest one.

    ``after_orders`` is a precondition: the endpoint replies ``busy`` unless it
    has accepted exactly that many orders, from any holder, since its start.
    ``None`` sends no precondition.
    """

    kind: OrderKind
    endpoint: str
    weights: Weights
    holder: str
    fence: int
    version: int | None = None
    after_orders: int | None = None


class OrderReply(StrEnum):
    """Reply of an endpoint to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    MALFORMED = "malformed"
    OTHER_ENDPOINT = "other_endpoint"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """State reported by an endpoint; it lags by some hundred milliseconds.

    ``pending`` are the adapters being loaded, which occupy capacity too.
    ``born_ms`` is when the reporting process started. ``orders_taken`` counts
    the orders that it has accepted since then. ``running_ids`` are the ids of
    the requests that it runs.
    """

    held: dict[Weights, int]
    pending: frozenset[Weights]
    busy: bool
    running: int
    waiting: int
    kv_used: int
    kv_total: int
    born_ms: int = UNKNOWN_BORN_MS
    orders_taken: int = 0
    running_ids: tuple[str, ...] = ()


class StoreStatus(StrEnum):
    """Result of a read from the platform's store."""

    OK = "ok"
    ABSENT = "absent"
    HISTORY_LOST = "history_lost"
    REJECTED = "turned_away"


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Response to a read from the store.

    ``revision`` is that of the store when it responded, and ``more`` says
    that another page follows the last key. ``era`` is that of the store, with
    which all items are marked; ``None`` if the response names none. ``defect``
    says what is wrong with the era that it names.
    """

    status: StoreStatus
    items: tuple[PublishedItem, ...] = ()
    revision: int = 0
    more: bool = False
    era: int | None = None
    defect: str = ""


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """Published version of an adapter."""

    weights: Weights
    version: int


DecodedItem = Configuration | EndpointRecord | AdapterVersion


@dataclass(frozen=True, slots=True)
class HttpCall:
    """HTTP request in the platform's format."""

    method: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class Dialect(Protocol):
    """Translate between fescuekeel's types and a platform's formats.

    Methods that parse external input raise ``ValueError`` with a message that
    names the invalid field.
    """

    ready_path: str

    def read_request(self, headers: Mapping[str, str]) -> CallerMetadata:
        """Parse the headers of a caller's request."""

    def make_request_headers(
        self, caller: CallerMetadata, metadata: ForwardMetadata
    ) -> tuple[Header, ...]:
        """Build the headers of a request to an endpoint."""

    def make_correlation(self, request_id: str) -> Correlation:
        """Return what identifies an endpoint's response to a request."""

    def read_response(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseMetadata:
        """Parse the headers of an endpoint's response."""

    def make_error_headers(
        self, request_id: str, kind: ErrorKind
    ) -> tuple[Header, ...]:
        """Build the headers of an error response to a caller."""

    def make_order(self, order: WeightOrder) -> HttpCall:
        """Build the call that sends an order."""

    def read_order_reply(self, status: int) -> OrderReply | None:
        """Parse the reply to an order; ``None`` if it tells nothing."""

    def make_report_call(self, endpoint: str) -> HttpCall:
        """Build the call that reads an endpoint's report."""

    def read_report(self, body: bytes) -> EndpointReport:
        """Parse an endpoint's report."""

    def make_list_call(self, after_key: str) -> HttpCall:
        """Build the call that lists one page of the store."""

    def make_watch_call(self, after_revision: int, wait_s: float) -> HttpCall:
        """Build the call that waits for changes in the store."""

    def read_store_reply(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> StoreReply:
        """Parse a response of the store; header names are in lower case."""

    def decode(self, item: PublishedItem) -> DecodedItem | None:
        """Decode an item; ``None`` if its key is of no known kind."""

    def classify(self, key: str) -> type | None:
        """Return the decoded type of a key's values, ``None`` if unknown."""


class DialectRegistry:
    """Registry of dialects by name."""

    def __init__(self) -> None:
        self.dialects_by_name: dict[str, Dialect] = {}

    def register(self, name: str, dialect: Dialect) -> None:
        """Add a dialect; raise ``ValueError`` if the name is taken."""
        if name in self.dialects_by_name:
            raise ValueError(f"dialect {name!r} is already registered")
        self.dialects_by_name[name] = dialect


DIALECTS = DialectRegistry()


def get_dialect(platform: PlatformSettings) -> Dialect:
    """Return the dialect named in the settings; import it if necessary."""
    if platform.dialect not in DIALECTS.dialects_by_name:
        if platform.dialect_path and platform.dialect_path not in sys.path:
            # Appended, so that the folder cannot shadow installed modules.
            sys.path.append(platform.dialect_path)
        importlib.import_module(platform.dialect_module)
    return DIALECTS.dialects_by_name[platform.dialect]
