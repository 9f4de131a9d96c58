"""Say whether an endpoint may be sent to now, why not and until when; pure.

Endpoints that leave are not asked about: the catalog does not list them.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from fescuekeel.components.endpoints.backoffs import BackOffs
from fescuekeel.components.endpoints.const import WINDOW_RECHECK_S

__all__ = [
    "Block",
    "BlockReason",
    "ListBlocks",
    "find_strict_block",
    "list_preferred",
]

# More than all other reasons together.
UNCONFIRMED_SEVERITY = 16


class BlockReason(StrEnum):
    """Why an endpoint must not be sent to now, or rather should not.

    It has asked this instance to back off, gets its first requests after that,
    may have left, as its entry is missing, cannot be reached, owes answers,
    has just rejected a request without naming a time, is at its rate limit,
    has no permit for the request, has no room in its queue, or the request
    would have to queue.
    """

    BACKED_OFF = "backed_off"
    RETURNING = "returning"
    UNCONFIRMED = "unconfirmed"
    UNREACHABLE = "unreachable"
    UNRESPONSIVE = "unresponsive"
    REJECTING = "rejecting"
    LIMITED = "limited"
    WITHOUT_PERMIT = "without_permit"
    FULL = "full"
    CONGESTED = "congested"

    @property
    def is_strict(self) -> bool:
        """Return whether nothing may be sent, even if there is no other."""
        return self in (BlockReason.BACKED_OFF, BlockReason.RETURNING)

    @property
    def severity(self) -> int:
        """Return the rank; whether it answers matters more than its load.

        An endpoint that may have left comes after all others.
        """
        if self is BlockReason.UNCONFIRMED:
            return UNCONFIRMED_SEVERITY
        is_silent = self in (BlockReason.UNREACHABLE, BlockReason.UNRESPONSIVE)
        return 2 if is_silent else 1


@dataclass(frozen=True, slots=True)
class Block:
    """A reason against sending to an endpoint, and until when it holds.

    ``until`` is infinite if that is not known.
    """

    reason: BlockReason
    until: float = float("inf")


ListBlocks = Callable[[str], Sequence[Block]]


def find_strict_block(endpoint: str, back_offs: BackOffs, now: float) -> Block | None:
    """Return why an endpoint must not be sent to now, ``None`` if it may."""
    until = back_offs.find_until(endpoint, now)
    if until is not None:
        return Block(BlockReason.BACKED_OFF, until)
    if back_offs.is_window_full(endpoint, now):
        return Block(BlockReason.RETURNING, now + WINDOW_RECHECK_S)
    return None


def list_preferred(endpoints: Iterable[str], list_blocks: ListBlocks) -> list[str]:
    """Return the endpoints with the least against them, in their order.

    Those that must not be sent to are left out, even if there is no other.

    >>> blocks_by_id = {
    ...     "e1": [Block(BlockReason.FULL)],
    ...     "e2": [Block(BlockReason.UNREACHABLE)],
    ...     "e3": [Block(BlockReason.BACKED_OFF)],
    ... }
    >>> list_preferred(["e1", "e2", "e3"], blocks_by_id.__getitem__)
    ['e1']
    >>> list_preferred(["e3"], blocks_by_id.__getitem__)
    []
    """
    severities_by_id: dict[str, int] = {}
    for endpoint in endpoints:
        reasons = [block.reason for block in list_blocks(endpoint)]
        if not any(reason.is_strict for reason in reasons):
            severities_by_id[endpoint] = sum(reason.severity for reason in reasons)
    least = min(severities_by_id.values(), default=0)
    return [id for id, severity in severities_by_id.items() if severity == least]
