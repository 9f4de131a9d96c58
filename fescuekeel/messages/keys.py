"""Messages that claim idempotency keys at their homes.

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
