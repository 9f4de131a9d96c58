"""Messages between instances that forward requests.

Each class has a struct of the same name in ``schema/peer.capnp``. Times are
relative and in milliseconds. The holder of an endpoint is the instance that
may order it to load and unload weights.
"""

from dataclasses import dataclass

__all__ = [
    "AdmitAnswer",
    "AdmitAsk",
    "AllowanceAnswer",
    "AllowanceAsk",
    "CatalogAsk",
    "CatalogItem",
    "CatalogNews",
    "CatalogPart",
    "EndpointUse",
    "HeldWeights",
    "LoadAnswer",
    "LoadAsk",
    "PermitAnswer",
    "PermitAsk",
    "PermitEnded",
    "PlacementNews",
    "PlacementState",
    "UseNews",
    "WeightUse",
]


@dataclass(frozen=True, slots=True)
class CatalogItem:
    """Published value; ``gone`` says that the key was removed.

    With ``packed`` the value is compressed with zlib. ``era`` and ``revision``
    are the store's position at the change.
    """

    key: str
    revision: int
    value: bytes
    gone: bool = False
    packed: bool = False
    era: int = 0


@dataclass(frozen=True, slots=True)
class CatalogNews:
    """Announce the position of the sender's catalog in the store's history.

    ``watching`` says that the sender reads the store itself and the store
    responds; ``answered_ms`` is how long ago the store last answered it.
    ``age_ms`` is how long ago the store is known to have had nothing newer. It
    only helps to choose a peer to fetch from, since the message may be
    delayed. ``keeps`` says that the sender knows items that are newer than
    those of the copy from which the store came back.
    """

    revision: int
    watching: bool = False
    age_ms: int = 0
    answered_ms: int = 0
    era: int = 0
    keeps: bool = False


@dataclass(frozen=True, slots=True)
class CatalogAsk:
    """Ask for the changes after a position."""

    since: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class CatalogPart:
    """All changes after the requested position.

    ``era`` and ``revision`` are the sender's position, and
    ``first_revision`` is the lowest that it knows of the store in that era.
    ``whole`` says that the items are a full snapshot, because the sender does
    not know what was removed since that position; of a key there may be two
    items then, one of an earlier era. Keys removed up to ``lapsed_until`` of
    the era ``lapsed_era`` may have expired because the store was unavailable.
    ``age_ms`` is how long before this reply the store is known to have had
    nothing newer.
    """

    revision: int
    items: tuple[CatalogItem, ...] = ()
    whole: bool = False
    lapsed_until: int = 0
    age_ms: int = 0
    era: int = 0
    first_revision: int = 0
    lapsed_era: int = 0


@dataclass(frozen=True, slots=True)
class HeldWeights:
    """Weights that are loaded at an endpoint."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class PlacementState:
    """State of an endpoint as its holder knows it.

    ``term`` orders the claims of holders. ``released`` gives up the claim, and
    ``quiet_ms`` is the time since the holder's last order. ``pending_tokens``
    are the prompt tokens of all instances that are not yet prefilled there.

    ``number`` is the version of the list of loaded weights. With ``based_on``
    0 the list is complete; otherwise ``held`` and ``dropped`` are the
    differences from that version, empty if both versions are the same.
    """

    endpoint: str
    term: int
    released: bool = False
    quiet_ms: int = 0
    held: tuple[HeldWeights, ...] = ()
    running: int = 0
    pending_tokens: int = 0
    number: int = 0
    based_on: int = 0
    dropped: tuple[HeldWeights, ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementNews:
    """Placement update: the state of each endpoint the sender holds."""

    states: tuple[PlacementState, ...] = ()


@dataclass(frozen=True, slots=True)
class WeightUse:
    """Use of weights at an endpoint by one instance.

    ``running`` is the number of its requests in progress, and ``begun`` the
    number of those that have started since its last report.
    """

    model: str
    adapter: str
    running: int
    begun: int


@dataclass(frozen=True, slots=True)
class EndpointUse:
    """Use of an endpoint by one instance.

    ``tokens_per_s`` is the observed prefill rate since the last report, zero
    if unknown. ``pause_percent`` is the longest pause in a stream since then,
    in percent of the pause that its route allows.
    """

    endpoint: str
    running: int
    uses: tuple[WeightUse, ...] = ()
    tokens_per_s: int = 0
    pause_percent: int = 0


@dataclass(frozen=True, slots=True)
class UseNews:
    """Usage report to the holder of endpoints."""

    endpoints: tuple[EndpointUse, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadAsk:
    """Ask the holder of an endpoint to have weights loaded there.

    ``version`` is the required version, 0 for any. ``spread`` asks for an
    additional replica, for which no request waits. ``on_time_ms`` is how long
    the load may take for the request to meet its latency objective, and
    ``patience_ms`` how long the request waits at most. Without ``patient`` the
    reply is immediate if no place is free or the engine is overloaded, so that
    another endpoint can be tried. ``tokens`` is the size of the waiting
    prompt.
    """

    endpoint: str
    model: str
    adapter: str
    version: int
    priority: int
    spread: bool = False
    on_time_ms: int = 0
    patience_ms: int = 0
    patient: bool = True
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class LoadAnswer:
    """Reply once the weights are loaded, or cannot be loaded now.

    ``version`` is the loaded one. An instance that is not the endpoint's
    holder redirects to ``holder``, if it knows it.
    """

    loaded: bool
    detail: str = ""
    version: int = 0
    holder: str = ""


@dataclass(frozen=True, slots=True)
class AdmitAsk:
    """Ask the holder of an endpoint for admission of a prompt.

    ``on_time_ms`` is how long the prompt may be queued for the request to meet
    its latency objective, and ``patience_ms`` how long it waits at most.
    ``version`` is the minimum version of the weights. Without ``patient`` the
    reply is immediate if the engine is overloaded, so that another endpoint
    can be tried.
    """

    endpoint: str
    tokens: int
    priority: int
    on_time_ms: int
    patience_ms: int
    model: str = ""
    adapter: str = ""
    version: int = 0
    patient: bool = True


@dataclass(frozen=True, slots=True)
class AdmitAnswer:
    """Reply once a prompt is admitted or rejected.

    ``pending_tokens`` are the prompt tokens that are queued there or being
    prefilled, ``running`` is the number of running requests, and ``wait_ms``
    the estimated time to work off the queue. ``version`` is that of the loaded
    weights. ``reason`` says why a prompt is rejected. An instance that is not
    the endpoint's holder redirects to ``holder``, if it knows it.
    """

    granted: bool
    pending_tokens: int = 0
    wait_ms: int = 0
    reason: str = ""
    running: int = 0
    holder: str = ""
    version: int = 0


@dataclass(frozen=True, slots=True)
class AllowanceAsk:
    """Ask a limit's home instance for a share of it.

    ``account`` is the name of a client account, or of an endpoint after the
    prefix ``endpoint/``. ``needed`` is the cost of the waiting request in
    units of the limit. ``deputy`` says that the receiver stands in for an
    unresponsive home. ``rate_per_s`` is an endpoint's limit as the sender
    knows it, zero for a client account.
    """

    account: str
    needed: float
    deputy: bool = False
    rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AllowanceAnswer:
    """Grant units; without any, ``wait_ms`` says when to ask again."""

    units: float
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class PermitAsk:
    """Ask an endpoint's home for a permit for one request.

    ``number`` identifies the permit among those of the sender. The request may
    wait for ``patience_ms`` and has ended after ``lasts_ms``. ``running`` are
    the sender's other requests there without a permit of this home.
    ``max_rejections_per_s`` are the rejections that the endpoint stands, and
    ``is_new`` says that it has just started.
    """

    endpoint: str
    number: int
    priority: int
    patience_ms: int
    lasts_ms: int
    running: int
    slots: int
    max_rejections_per_s: float
    is_new: bool = False


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """Grant a permit; without one, ``wait_ms`` says when to ask again."""

    granted: bool
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class PermitEnded:
    """Tell the home how a request ended; a value of ``PermitOutcome``.

    The number is 0 for a request without a permit.
    """

    endpoint: str
    number: int
    outcome: str
