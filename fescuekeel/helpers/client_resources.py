"""What clients hold of this process, with the limits of the settings."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from fescuekeel.helpers.client_ledger import (
    Client,
    ClientLedger,
    ClientLimits,
    ClientPhase,
    CloseReason,
)
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.process_usage import (
    read_descriptor_limit,
    read_machine_memory_bytes,
)
from fescuekeel.helpers.settings import ResourcesSettings

__all__ = ["ClientResources", "ClosableStream", "get_descriptors", "make_limits"]

BYTES_PER_MIB = 1024 * 1024
# Of a larger machine this process is given no more, unless settings say so: it
# may not be the only one there.
MAX_ASSUMED_MEMORY_BYTES = 512 * BYTES_PER_MIB
# Probes, scrapers and operators: few connections at a time each.
MAX_SIDE_CONNECTIONS = 32
REPORT_PERIOD_S = 1.0


class ClosableStream(Protocol):
    """A connection that can be reset."""

    def reset(self) -> None:
        """Close at once, and drop what was not read or written."""


def make_limits(settings: ResourcesSettings) -> ClientLimits:
    """Return the limits on all clients; a zero takes the machine's.

    >>> machine = ResourcesSettings(memory_mb=300, descriptors=4100)
    >>> limits = make_limits(machine)
    >>> limits.max_bytes, limits.max_connections
    (78643200.0, 1640.0)
    """
    memory_bytes = settings.memory_mb * BYTES_PER_MIB or min(
        read_machine_memory_bytes(), MAX_ASSUMED_MEMORY_BYTES
    )
    return ClientLimits(
        settings.client_memory_share * memory_bytes,
        settings.client_descriptor_share * get_descriptors(settings),
        settings.slow_request_s,
        settings.min_bytes_per_s,
    )


def get_descriptors(settings: ResourcesSettings) -> float:
    """Return how many descriptors the process may hold."""
    return settings.descriptors or read_descriptor_limit()


class ClientResources:
    """Apply the ledger's decisions to the connections of all ports."""

    def __init__(
        self,
        settings: ResourcesSettings,
        now: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self.ledger = ClientLedger(make_limits(settings))
        self._now = now
        self._count = count
        self._streams_by_client: dict[Client, ClosableStream] = {}
        self._closed_by_reason: Counter[CloseReason] = Counter()
        self._reported_at = float("-inf")

    def configure(self, settings: ResourcesSettings) -> None:
        """Apply changed settings."""
        self.ledger.limits = make_limits(settings)

    def limit_port(self, port: str) -> None:
        """Give a port for probes and operators a small limit of its own."""
        self.ledger.max_by_port[port] = MAX_SIDE_CONNECTIONS

    def open(self, port: str, stream: ClosableStream) -> Client | None:
        """Count a new connection; ``None`` if it was closed."""
        client = Client(port, self._now())
        self._streams_by_client[client] = stream
        self._close_all(self.ledger.add(client), CloseReason.CONNECTIONS)
        return client if client in self._streams_by_client else None

    def release(self, client: Client) -> None:
        """Count a closed connection no longer."""
        self.ledger.remove(client)
        self._streams_by_client.pop(client, None)

    def update(self, client: Client) -> bool:
        """Count what a connection holds; return whether there is room."""
        self._close_all(self.ledger.update(client), CloseReason.MEMORY)
        return self.ledger.has_room(client)

    def enter(self, client: Client, phase: ClientPhase) -> None:
        """Record the phase of a connection."""
        if client.phase is not phase:
            self.ledger.enter(client, phase, self._now())

    def close(self, client: Client, reason: CloseReason) -> None:
        """Close a connection."""
        self.ledger.remove(client)
        stream = self._streams_by_client.pop(client, None)
        if stream is None:
            return
        self._count(f"clients_closed.{reason}")
        self._closed_by_reason[reason] += 1
        stream.reset()
        self._report()

    def _close_all(self, clients: list[Client], reason: CloseReason) -> None:
        for client in clients:
            self.close(client, reason)

    def close_slow(self) -> None:
        """Close the connections whose requests do not come on."""
        self._close_all(self.ledger.list_slow(self._now()), CloseReason.SLOW)
        self._report()

    def count_by_phase(self) -> dict[str, float]:
        """Return how many connections there are, for a gauge."""
        phases = Counter(client.phase.value for client in self.ledger.clients)
        return {phase.value: float(phases[phase.value]) for phase in ClientPhase}

    def read_bytes(self) -> dict[str, float]:
        """Return what clients hold and may hold, for a gauge."""
        ledger = self.ledger
        return {"held": float(ledger.total_bytes), "limit": ledger.limits.max_bytes}

    def _report(self) -> None:
        """Write at most one line a second, however many are closed."""
        now = self._now()
        if not self._closed_by_reason or now - self._reported_at < REPORT_PERIOD_S:
            return
        self._reported_at = now
        log_event(
            "clients_closed",
            open_connections=len(self.ledger.clients),
            held_bytes=self.ledger.total_bytes,
            outcome="closed",
            **{
                reason.value: self._closed_by_reason[reason]
                for reason in CloseReason
                if self._closed_by_reason[reason]
            },
        )
        self._closed_by_reason.clear()
