"""Tell a crash of an endpoint from other reasons for a broken answer.

An answer also breaks when a connection is reset, when an endpoint sends an
invalid one, or at a planned stop. After a crash the endpoint refuses
connections, closes them without an answer, or is another incarnation.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from enum import StrEnum

__all__ = [
    "RECHECK_S",
    "CrashEvidence",
    "Liveness",
    "classify_failed_connect",
    "gather_evidence",
]

# The pause between the two calls of a check.
RECHECK_S = 0.05


class Liveness(StrEnum):
    """What a call to an endpoint shows.

    ``REPLACED``: another incarnation answers. ``CLOSED``: the connection was
    closed without an answer. ``SILENT``: there is no answer in time, as behind
    a network partition.
    """

    ALIVE = "alive"
    REFUSED = "refused"
    CLOSED = "closed"
    REPLACED = "replaced"
    SILENT = "silent"


def classify_failed_connect(error: BaseException | None) -> Liveness:
    """Return what the cause of a failed connect shows.

    A proxy may reset a connection to an endpoint that is down at once.

    >>> classify_failed_connect(ConnectionRefusedError()).value
    'refused'
    >>> classify_failed_connect(ConnectionResetError()).value
    'closed'
    >>> classify_failed_connect(TimeoutError()).value
    'silent'
    """
    if isinstance(error, ConnectionRefusedError):
        return Liveness.REFUSED
    if isinstance(error, ConnectionError):
        return Liveness.CLOSED
    return Liveness.SILENT


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """What two calls have shown; the second is the first if there was one.

    ``took_s`` is how long the shorter one took: on a busy machine either one
    may be slow. ``peer`` is what a call through a peer has shown, ``None`` if
    there was none: a link that is cut looks like a crash to the instance
    behind it.

    >>> CrashEvidence(Liveness.ALIVE, Liveness.CLOSED).shows_crash
    False
    >>> CrashEvidence(Liveness.CLOSED, Liveness.CLOSED).shows_crash
    True
    >>> refused = CrashEvidence(Liveness.REFUSED, Liveness.REFUSED)
    >>> refused.add_peer(Liveness.ALIVE, took_s=0.01).shows_crash
    False
    """

    first: Liveness
    second: Liveness
    took_s: float = 0.0
    peer: Liveness | None = None

    def add_peer(self, peer: Liveness, took_s: float) -> "CrashEvidence":
        """Return the evidence with what a call through a peer has shown.

        ``took_s`` is how long it took once the peer had connected.
        """
        if peer is not Liveness.CLOSED:
            return replace(self, peer=peer)
        return replace(self, peer=peer, took_s=min(self.took_s, took_s))

    @property
    def needs_life(self) -> bool:
        """Return whether a run only counts if the endpoint was alive before.

        Where connections are refused, the run's own connection shows that. A
        proxy accepts connections for an endpoint that is down and closes them.
        """
        return self.second is Liveness.CLOSED

    @property
    def shows_crash(self) -> bool:
        """Return whether the endpoint has crashed."""
        if self.peer in (Liveness.ALIVE, Liveness.SILENT):
            return False
        if self.second in (Liveness.REFUSED, Liveness.REPLACED):
            return True
        return self.first is self.second is Liveness.CLOSED


async def gather_evidence(call: Callable[[], Awaitable[Liveness]]) -> CrashEvidence:
    """Call an endpoint, and once more if the first call may mislead.

    An endpoint that is about to stop listening may still answer the first one,
    and one that resets some connections may have reset that of the check.
    """
    first, took_s = await _time_call(call)
    if first not in (Liveness.ALIVE, Liveness.CLOSED):
        return CrashEvidence(first, first, took_s)
    await asyncio.sleep(RECHECK_S)
    second, second_took_s = await _time_call(call)
    return CrashEvidence(first, second, min(took_s, second_took_s))


async def _time_call(
    call: Callable[[], Awaitable[Liveness]],
) -> tuple[Liveness, float]:
    loop = asyncio.get_running_loop()
    called_at = loop.time()
    found = await call()
    return found, loop.time() - called_at
