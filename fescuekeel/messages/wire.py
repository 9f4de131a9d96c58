"""Messages between instances.

Each class has a struct of the same name in ``schema/peer.capnp`` with the
same fields. Times on the wire are relative, in milliseconds, since clocks of
different instances do not agree.
"""

from dataclasses import dataclass
from enum import StrEnum

from fescuekeel.messages.forwarding import (
    AdmitAnswer,
    AdmitAsk,
    CatalogAsk,
    CatalogNews,
    CatalogPart,
    LoadAnswer,
    LoadAsk,
    PlacementNews,
    UseNews,
)

__all__ = [
    "AdapterRef",
    "CancelWork",
    "CopyAnswer",
    "CopyAsk",
    "Envelope",
    "HandoverAnswer",
    "HandoverOffer",
    "Hello",
    "HelloAnswer",
    "KeyAnswer",
    "KeyClaim",
    "KeyCopy",
    "KeyPeer",
    "KeyPull",
    "KeyRecord",
    "KeySettle",
    "News",
    "NewsKind",
    "Ping",
    "PingAnswer",
    "ProbeAnswer",
    "ProbeAsk",
    "RunningAnswer",
    "RunningAsk",
    "RunningWork",
    "StartAnswer",
    "StartAsk",
    "Submit",
    "SubmitAnswer",
    "TreeAsk",
    "TreePart",
    "TurnAnswer",
    "TurnAsk",
    "TurnDone",
    "WireMessage",
    "WorkChunk",
    "WorkEnd",
    "WorkStarted",
]


@dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """Name one version of one adapter; both empty for a plain service.

    >>> str(AdapterRef("cups-and-balls", "3"))
    'cups-and-balls@3'
    """

    name: str = ""
    version: str = ""

    def __str__(self) -> str:
        """Return the reference as callers write it."""
        return f"{self.name}@{self.version}" if self.name else ""

    def __bool__(self) -> bool:
        """Tell whether an adapter is named at all."""
        return bool(self.name)


class NewsKind(StrEnum):
    """Name what a piece of gossip tells."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"
    ENDPOINT_LEAVING = "endpoint_leaving"
    TREE_REVISION = "tree_revision"


@dataclass(frozen=True, slots=True)
class News:
    """Tell one fact about an instance, an endpoint or the tree.

    ``subject`` is an instance id, an endpoint id or a tree digest, and
    ``incarnation`` orders what is told of the same subject. For the tree it
    is the revision.
    """

    kind: NewsKind
    subject: str
    incarnation: int
    address: str = ""
    data_centre: str = ""


@dataclass(frozen=True, slots=True)
class Hello:
    """Open a connection: who speaks, and with which protocol version."""

    version: int
    instance: str
    data_centre: str
    incarnation: int
    address: str


@dataclass(frozen=True, slots=True)
class HelloAnswer:
    """Answer a hello."""

    instance: str
    incarnation: int
    data_centre: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask a peer for a sign of life and pass on news."""

    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class PingAnswer:
    """Answer a ping, with news in return."""

    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeAsk:
    """Ask a peer to ping a third instance."""

    target: str
    address: str


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Tell whether the third instance answered."""

    target: str
    alive: bool


@dataclass(frozen=True, slots=True)
class TreeAsk:
    """Ask for a part of a revision; an empty name asks for the manifest.

    Revision 0 asks for the highest revision that the peer holds.
    """

    revision: int
    name: str


@dataclass(frozen=True, slots=True)
class TreePart:
    """Carry a part or a manifest; revision 0 says that it is not held."""

    revision: int
    name: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Submit:
    """Hand a request to the owner of an endpoint.

    ``attempt`` numbers the entry's tries of this request, and each event in
    return repeats it, so that a late event of an earlier try is told apart.
    ``urgency`` is 0 for the most urgent. With ``resume`` the request runs
    already and its stream is wanted from token ``resume_position`` on; it
    must not be run again. ``method`` and ``path`` matter to plain services.
    ``moved`` says that an owner sent it on before, which happens only once.
    """

    request_id: str
    attempt: int
    endpoint: str
    shop: str
    service: str
    adapter: AdapterRef
    urgency: int
    remaining_ms: int
    repeatable: bool
    stream: bool
    path: str
    body: bytes
    max_tokens: int = 0
    resume: bool = False
    resume_position: int = 0
    method: str = "POST"
    content_type: str = "application/json"
    idempotency_key: str = ""
    moved: bool = False


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """Say that a request is queued, or refused with a kind and never run.

    ``endpoint`` is where it goes instead when it was moved.
    """

    accepted: bool
    kind: str = ""
    detail: str = ""
    retry_after_ms: int = 0
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class CopyAsk:
    """Ask the owner of an adapter's other endpoint what a load means there."""

    endpoint: str
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class CopyAnswer:
    """Answer with that endpoint's situation; not ``owned`` means none.

    ``held`` tells that the adapter is loaded or will be, ``score`` how popular
    the adapter is that a load would displace, ``queued`` how many wait.
    """

    endpoint: str
    owned: bool
    held: bool = False
    score: float = 0.0
    queued: int = 0


@dataclass(frozen=True, slots=True)
class StartAsk:
    """Ask the entry instance for leave to hand over a non-repeatable request.

    The entry grants it to one attempt only. Until then it may safely try
    elsewhere or tell the caller "not run", since an owner without leave never
    hands over.
    """

    request_id: str
    attempt: int
    stall_ms: int = 0
    queue_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Grant or deny the hand-over."""

    granted: bool


@dataclass(frozen=True, slots=True)
class WorkStarted:
    """Say that a repeatable request may have reached its endpoint."""

    request_id: str
    attempt: int
    stall_ms: int = 0
    queue_ms: int = 0


@dataclass(frozen=True, slots=True)
class WorkChunk:
    """Carry a piece of the answer.

    ``position`` is the number of the first token in ``data`` where the
    answer is a stream of tokens, and zero otherwise. ``tokens`` is how many
    tokens ``data`` holds, zero for the end mark of a stream.
    """

    request_id: str
    attempt: int
    position: int
    data: bytes
    tokens: int = 1


@dataclass(frozen=True, slots=True)
class WorkEnd:
    """End a request; an empty kind means success with ``status``.

    ``stall_ms`` is how long it waited for its adapter to be loaded, and
    ``queue_ms`` how long it waited in all before the hand-over.
    """

    request_id: str
    attempt: int
    kind: str = ""
    ran: str = "yes"
    status: int = 200
    content_type: str = ""
    detail: str = ""
    retry_after_ms: int = 0
    stall_ms: int = 0
    queue_ms: int = 0


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Stop a request whose caller went away."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class TurnAsk:
    """Ask the leader of load turns for a turn at the weight store.

    ``value`` orders the asks, the highest first; ``waiting`` is how many
    requests wait for the load. ``last`` sums up how many milliseconds the
    previous load took, zero if unknown.
    """

    endpoint: str
    adapter: AdapterRef
    value: float
    waiting: int


@dataclass(frozen=True, slots=True)
class TurnAnswer:
    """Grant a turn, or say in how many milliseconds to ask again."""

    endpoint: str
    adapter: AdapterRef
    granted: bool
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class TurnDone:
    """Give a turn back."""

    endpoint: str
    adapter: AdapterRef
    took_ms: int


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """Claim an idempotency key for one request before it may run.

    ``digest`` is that of the request's meaning, and ``lifetime_ms`` how long
    the claim is kept after it is settled. ``homes`` are the key's homes as
    the claiming instance sees them; a home that sees others refuses.
    """

    key: str
    request_id: str
    digest: str
    lifetime_ms: int
    homes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class KeyAnswer:
    """Grant a claim, or tell the error kind that the caller gets."""

    granted: bool
    kind: str = ""


@dataclass(frozen=True, slots=True)
class KeySettle:
    """Settle a claim: released if the request did not run, else used."""

    key: str
    request_id: str
    ran: str


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """One claim as a home holds it; ``used`` is false while it runs."""

    key: str
    request_id: str
    digest: str
    used: bool
    remaining_ms: int
    lifetime_ms: int


@dataclass(frozen=True, slots=True)
class KeyPull:
    """Ask for the claims that the asking instance has to know as a home.

    It tells that the asking instance is a home from now on. Claims come in
    the order of their keys, from above ``after`` on.
    """

    data_centre: str
    after: str = ""


@dataclass(frozen=True, slots=True)
class KeyPeer:
    """One instance that counts when homes are chosen.

    ``left`` tells that it counts no more, having passed its claims on.
    ``unseen_ms`` is for how long no list has named it.
    """

    id: str
    data_centre: str
    incarnation: int
    left: bool
    unseen_ms: int


@dataclass(frozen=True, slots=True)
class KeyCopy:
    """Pass on claims; ``more`` tells that others follow.

    ``leaving`` tells that the sender is no home any more. ``peers`` are the
    instances that count as homes where the sender is.
    """

    records: tuple[KeyRecord, ...] = ()
    more: bool = False
    leaving: bool = False
    peers: tuple[KeyPeer, ...] = ()


@dataclass(frozen=True, slots=True)
class RunningWork:
    """Name a request that may be running on an endpoint."""

    request_id: str
    adapter: AdapterRef
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class RunningAsk:
    """Ask an instance which unfinished requests it knows on an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class RunningAnswer:
    """Answer with all of them, and with the highest fencing number known.

    ``given`` says that the instance owned the endpoint until a moment ago and
    gave it up in favour of the one that asks.
    """

    endpoint: str
    fence: int
    work: tuple[RunningWork, ...] = ()
    given: bool = False


@dataclass(frozen=True, slots=True)
class HandoverOffer:
    """Pass an endpoint to its next owner at a graceful shutdown.

    ``work`` is still running under the old owner, which keeps its streams.
    """

    endpoint: str
    fence: int
    work: tuple[RunningWork, ...] = ()


@dataclass(frozen=True, slots=True)
class HandoverAnswer:
    """Say that the handover is known to the next owner."""

    endpoint: str
    accepted: bool


WireMessage = (
    Hello
    | HelloAnswer
    | Ping
    | PingAnswer
    | ProbeAsk
    | ProbeAnswer
    | TreeAsk
    | TreePart
    | Submit
    | SubmitAnswer
    | StartAsk
    | StartAnswer
    | WorkStarted
    | WorkChunk
    | WorkEnd
    | CancelWork
    | TurnAsk
    | TurnAnswer
    | TurnDone
    | KeyClaim
    | KeyAnswer
    | KeySettle
    | KeyCopy
    | KeyPull
    | RunningAsk
    | RunningAnswer
    | HandoverOffer
    | HandoverAnswer
    | CopyAsk
    | CopyAnswer
    | CatalogNews
    | CatalogAsk
    | CatalogPart
    | PlacementNews
    | UseNews
    | LoadAsk
    | LoadAnswer
    | AdmitAsk
    | AdmitAnswer
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """Wrap one message: its number, and the number that it answers, or 0."""

    number: int
    answers: int
    body: WireMessage
