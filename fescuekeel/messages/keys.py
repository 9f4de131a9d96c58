"""Messages that claim idempotency keys at their home instances.

Each class has a struct of the same name in ``schema/peer.capnp``.
"""

from dataclasses import dataclass

__all__ = [
    "KeyAnswer",
    "KeyClaim",
    "KeyCopy",
    "KeyPeer",
    "KeyPull",
    "KeyRecord",
    "KeySettle",
]


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """Claim an idempotency key for one request before it may run.

    ``digest`` is that of the request's content, and ``lifetime_ms`` how long
    the claim is kept after it is settled. ``homes`` are the key's homes in the
    view of the sender; a home whose view differs rejects the claim.
    """

    key: str
    request_id: str
    digest: str
    lifetime_ms: int
    homes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class KeyAnswer:
    """Grant a claim, or return the error kind for the caller."""

    granted: bool
    kind: str = ""


@dataclass(frozen=True, slots=True)
class KeySettle:
    """Settle a claim: release it if the request did not run."""

    key: str
    request_id: str
    ran: str


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """Claim stored at a home; ``used`` is false while the request runs."""

    key: str
    request_id: str
    digest: str
    used: bool
    remaining_ms: int
    lifetime_ms: int


@dataclass(frozen=True, slots=True)
class KeyPull:
    """Ask for the claims that the sender must store as a home.

    It also announces that the sender is a home from now on. Claims are sent in
    the order of their keys, starting after the key ``after``.
    """

    data_centre: str
    after: str = ""


@dataclass(frozen=True, slots=True)
class KeyPeer:
    """Instance that is eligible as a home.

    ``left`` says that it has transferred its claims and is eligible no more.
    ``unseen_ms`` is how long it has been absent from every list.
    """

    id: str
    data_centre: str
    incarnation: int
    left: bool
    unseen_ms: int


@dataclass(frozen=True, slots=True)
class KeyCopy:
    """Transfer claims; ``more`` says that further ones follow.

    ``leaving`` says that the sender is no longer a home. ``peers`` are the
    eligible homes in the view of the sender.
    """

    records: tuple[KeyRecord, ...] = ()
    more: bool = False
    leaving: bool = False
    peers: tuple[KeyPeer, ...] = ()
