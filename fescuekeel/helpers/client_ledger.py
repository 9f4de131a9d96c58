"""Account of what clients make this process hold, and whom to close; pure.

Each connection of a client counts with what it really takes: the
connection itself, what was read and is not parsed, the body of its request
with its copies, and what is to be written to it. If the sum or the number of
connections is too high, those are closed that have been incomplete for the
longest: an ordinary request is complete within moments, so that it is served
whatever the others hold.
"""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CONNECTION_BYTES",
    "Client",
    "ClientLedger",
    "ClientLimits",
    "ClientPhase",
    "CloseReason",
]

# Requests of ordinary size may use this share more than all others.
RESERVED_SHARE = 0.25
ORDINARY_BODY_BYTES = 32 * 1024

# An open connection with the objects that serve it, and nothing buffered.
CONNECTION_BYTES = 32 * 1024
# A body is held twice while it is forwarded: the request's own, which a retry
# needs, and what is being written to the endpoint.
BODY_COPIES = 2

# While more requests than this wait to read on, none may have more turns than
# the largest body needs in chunks of 1 KiB, and none goes on in pieces so
# small that a turn brings little.
MAX_WAITING = 2
MAX_TURNS_BESIDE_OTHERS = 256
FIRST_TURNS = 16
MIN_BYTES_PER_TURN = 4096


class ClientPhase(StrEnum):
    """Whether a connection waits, sends a request, or is being answered."""

    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"


class Closable(StrEnum):
    """What may be closed for others, in this order.

    A request that is not complete or that never came, a connection that is
    kept open, and an answer that its client does not read.
    """

    INCOMPLETE = "incomplete"
    KEPT = "kept"
    UNREAD = "unread"


class CloseReason(StrEnum):
    """Why a client's connection is closed.

    All clients together hold too much memory or too many connections, or take
    too much processor time, its request does not come on, or it has gone
    before its request was complete.
    """

    MEMORY = "memory"
    CONNECTIONS = "connections"
    PROCESSOR = "processor"
    SLOW = "slow"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on all clients together.

    A request may take ``slow_request_s``, and as long again as its bytes take
    at ``min_bytes_per_s``.
    """

    max_bytes: float
    max_connections: float
    slow_request_s: float
    min_bytes_per_s: float


@dataclass(slots=True, eq=False)
class Client:
    """One connection of a client; times are those of the instance's clock.

    ``since`` is when its phase began, and ``requests`` counts those that were
    complete. ``received_bytes`` are those of the current request, and
    ``turns`` how often it had to wait to read on.
    """

    port: str
    since: float
    phase: ClientPhase = ClientPhase.IDLE
    requests: int = 0
    received_bytes: int = 0
    turns: int = 0
    body_bytes: int = 0
    unparsed_bytes: int = 0
    unwritten_bytes: int = 0
    counted_bytes: int = 0
    queued_as: Closable | None = None

    @property
    def held_bytes(self) -> int:
        """Return what the process holds for the connection."""
        body_bytes = BODY_COPIES * self.body_bytes
        buffered_bytes = self.unparsed_bytes + self.unwritten_bytes
        return CONNECTION_BYTES + body_bytes + buffered_bytes

    @property
    def closable(self) -> Closable | None:
        """Return as what it may be closed, ``None`` if it may not be."""
        if self.phase is ClientPhase.SERVING:
            return Closable.UNREAD if self.unwritten_bytes else None
        is_kept = self.phase is ClientPhase.IDLE and self.requests > 0
        return Closable.KEPT if is_kept else Closable.INCOMPLETE


@dataclass(slots=True)
class ClientLedger:
    """Count what all clients hold, and choose whom to close.

    >>> limits = ClientLimits(200_000, 3, 10.0, 1000.0)
    >>> ledger = ClientLedger(limits)
    >>> early = Client("callers", since=1.0)
    >>> late = Client("callers", since=2.0)
    >>> ledger.add(early), ledger.add(late)
    ([], [])
    >>> late.body_bytes = 90_000
    >>> ledger.update(late) == [early]
    True
    """

    limits: ClientLimits
    total_bytes: int = 0
    clients: dict[Client, None] = field(default_factory=dict)
    # Clients whose requests wait to read on.
    waiting: int = 0
    # Whom to close, the first of each kind first.
    _queues: dict[Closable, dict[Client, None]] = field(
        default_factory=lambda: {kind: {} for kind in Closable}
    )
    counts_by_port: dict[str, int] = field(default_factory=dict)
    # Ports with a limit of their own, within that of all.
    max_by_port: dict[str, int] = field(default_factory=dict)

    def add(self, client: Client) -> list[Client]:
        """Add a connection; return those to close for it.

        It is among them itself if there is no other.
        """
        self.clients[client] = None
        self._queue(client)
        self.counts_by_port[client.port] = self.counts_by_port.get(client.port, 0) + 1
        closed: list[Client] = []
        max_at_port = self.max_by_port.get(client.port, self.limits.max_connections)
        if self.counts_by_port[client.port] > max_at_port:
            closed.append(self._choose(client, client.port) or client)
        elif len(self.clients) > self.limits.max_connections:
            closed.append(self._choose(client) or client)
        for each in closed:
            self.remove(each)
        return closed if client in closed else closed + self.update(client)

    def remove(self, client: Client) -> None:
        """Remove a connection that is closed; again has no effect."""
        if client not in self.clients:
            return
        del self.clients[client]
        self._unqueue(client)
        self.counts_by_port[client.port] -= 1
        self.total_bytes -= client.counted_bytes
        client.counted_bytes = 0

    def enter(self, client: Client, phase: ClientPhase, now: float) -> None:
        """Record the phase of a connection."""
        client.phase, client.since = phase, now
        if client in self.clients:
            self._queue(client)

    def update(self, client: Client) -> list[Client]:
        """Count what a connection holds now; return those to close for it.

        They are removed. It is not among them itself: see ``has_room``.
        """
        if client not in self.clients:
            return []
        if client.queued_as is not client.closable:
            self._queue(client)
        self.total_bytes += client.held_bytes - client.counted_bytes
        client.counted_bytes = client.held_bytes
        closed: list[Client] = []
        while self.is_full and (victim := self._choose(client)) is not None:
            self.remove(victim)
            closed.append(victim)
        return closed

    @property
    def is_full(self) -> bool:
        """Return whether clients hold more than they may together."""
        return self.total_bytes > self.limits.max_bytes

    def has_room(self, client: Client) -> bool:
        """Return whether a connection may hold what it holds."""
        if not self.is_full:
            return True
        is_ordinary = client.body_bytes <= ORDINARY_BODY_BYTES
        reserved_bytes = RESERVED_SHARE * self.limits.max_bytes
        return is_ordinary and self.total_bytes <= (
            self.limits.max_bytes + reserved_bytes
        )

    def takes_too_long(self, client: Client) -> bool:
        """Return whether others have to wait while a request is read.

        Alone a client may send its body in any pieces.
        """
        if self.waiting <= MAX_WAITING or client.turns <= FIRST_TURNS:
            return False
        is_inefficient = client.received_bytes < MIN_BYTES_PER_TURN * client.turns
        return is_inefficient or client.turns > MAX_TURNS_BESIDE_OTHERS

    def list_slow(self, now: float) -> list[Client]:
        """Return the clients whose requests do not come on."""
        return [client for client in self.clients if self._is_slow(client, now)]

    def _is_slow(self, client: Client, now: float) -> bool:
        if client.phase is not ClientPhase.READING:
            return False
        limits = self.limits
        allowed_s = limits.slow_request_s
        allowed_s += client.received_bytes / limits.min_bytes_per_s
        return now - client.since > allowed_s

    def _choose(self, spared: Client, port: str = "") -> Client | None:
        """Return the client to close first, ``None`` if there is none."""
        for queue in self._queues.values():
            for client in queue:
                if client is not spared and port in ("", client.port):
                    return client
        return None

    def _queue(self, client: Client) -> None:
        """Put a client at the end of those of its kind."""
        self._unqueue(client)
        kind = client.queued_as = client.closable
        if kind is not None:
            self._queues[kind][client] = None

    def _unqueue(self, client: Client) -> None:
        if client.queued_as is not None:
            self._queues[client.queued_as].pop(client, None)
            client.queued_as = None
