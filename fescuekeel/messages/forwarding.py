"""Messages between instances that forward requests.

Each class has a struct of the same name in ``schema/peer.capnp``. Times are
relative and in milliseconds.
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
    "PlacementNews",
    "PlacementState",
    "UseNews",
    "WeightUse",
]


@dataclass(frozen=True, slots=True)
class CatalogItem:
    """One published value; ``gone`` says that the key was removed.

    With ``packed`` the value is compressed, by zlib.
    """

    key: str
    revision: int
    value: bytes
    gone: bool = False
    packed: bool = False


@dataclass(frozen=True, slots=True)
class CatalogNews:
    """Tell up to which revision the sender knows what is published.

    ``watching`` says that it has this from the store, which answers it.
    ``age_ms`` is how long ago the store is known to have had nothing newer: a
    hint whom to ask, as news may be held up on its way.
    """

    revision: int
    watching: bool = False
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class CatalogAsk:
    """Ask for what has changed after a revision."""

    since: int


@dataclass(frozen=True, slots=True)
class CatalogPart:
    """Answer with all changes after the revision asked for.

    ``whole`` says that the items are all that is published: the sender does
    not know what was removed since the revision asked for. What was removed
    up to ``lapsed_until`` may have lapsed while the store was away.
    ``age_ms`` is how long before the answer the store is known to have had
    nothing newer.
    """

    revision: int
    items: tuple[CatalogItem, ...] = ()
    whole: bool = False
    lapsed_until: int = 0
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class HeldWeights:
    """Weights that an endpoint holds and can serve now."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class PlacementState:
    """Tell what the holder of an endpoint's orders knows of it.

    ``term`` orders the claims of holders. ``released`` gives the claim up,
    and ``quiet_ms`` is how long ago the holder last gave an order.
    ``pending_tokens`` are prompt tokens that requests of all instances still
    wait for to be read there.

    The list of what is held has a ``number``. With ``based_on`` 0 it is whole;
    else ``held`` and ``dropped`` are what differs from the list with that
    number, nothing where both numbers are the same.
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
    """Tell the state of each endpoint whose orders the sender holds."""

    states: tuple[PlacementState, ...] = ()


@dataclass(frozen=True, slots=True)
class WeightUse:
    """How one instance uses weights at an endpoint.

    ``running`` are its requests under way and ``begun`` those that began
    since its last news.
    """

    model: str
    adapter: str
    running: int
    begun: int


@dataclass(frozen=True, slots=True)
class EndpointUse:
    """How one instance uses an endpoint.

    ``tokens_per_s`` is how fast the endpoint has read prompts since the last
    news, zero if nothing shows it. ``pause_percent`` is the longest pause in a
    stream since then, of the pause that its route allows.
    """

    endpoint: str
    running: int
    uses: tuple[WeightUse, ...] = ()
    tokens_per_s: int = 0
    pause_percent: int = 0


@dataclass(frozen=True, slots=True)
class UseNews:
    """Tell the holder of endpoints' orders how the sender uses them."""

    endpoints: tuple[EndpointUse, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadAsk:
    """Ask the holder of an endpoint's orders to have weights loaded there.

    ``version`` is the version that is needed, 0 for any. ``spread`` asks for
    one more copy, which nobody waits for. ``on_time_ms`` is how long the load
    may take for an answer within its target, and ``patience_ms`` how long
    anybody waits for it. Without ``patient`` the answer comes at once where no
    place is free, or the engine is crowded, so that the load can be asked for
    elsewhere. ``tokens`` are those of the prompt that waits for it.
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
    """Answer once the weights are held, or cannot be had now.

    ``version`` is the one that is held then. Whoever does not hold the
    endpoint's orders names its ``holder``, if it knows one.
    """

    loaded: bool
    detail: str = ""
    version: int = 0
    holder: str = ""


@dataclass(frozen=True, slots=True)
class AdmitAsk:
    """Ask the holder of an engine's orders when a prompt may be sent there.

    ``on_time_ms`` is how long its turn may take for an answer within its
    target, and ``patience_ms`` how long waiting makes sense at all.
    ``version`` is the oldest one of the weights that may serve it. Without
    ``patient`` the answer comes at once where the engine is crowded, so that
    the prompt can go elsewhere.
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
    """Answer when the prompt may be sent, or that it may not.

    ``pending_tokens`` are the prompt tokens that wait there now, or are being
    read, ``running`` the requests that run there, and ``wait_ms`` how long all
    that waits will take. ``version`` is that of the weights which are held
    then. ``reason`` says why a prompt may not be sent. Whoever does not hold
    the endpoint's orders names its ``holder``, if it knows one.
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
    """Ask an account's home for a part of the account's limit.

    ``needed`` is what a request that waits takes, in units of the limit. A
    ``deputy`` is asked while the home does not answer.
    """

    account: str
    needed: float
    deputy: bool = False


@dataclass(frozen=True, slots=True)
class AllowanceAnswer:
    """Grant units; with none, ``wait_ms`` is when there is room again."""

    units: float
    wait_ms: int = 0
