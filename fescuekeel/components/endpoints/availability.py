"""Say whether an endpoint may be sent to now, why not and until when; pure."""

from dataclasses import dataclass
from enum import StrEnum

from fescuekeel.components.endpoints.backoffs import BackOffs
from fescuekeel.components.endpoints.const import WINDOW_RECHECK_S

__all__ = ["Block", "BlockReason", "find_block"]


class BlockReason(StrEnum):
    """Why an endpoint must not be sent to now."""

    BACKED_OFF = "backed_off"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class Block:
    """A reason to send an endpoint nothing, and until when it holds."""

    reason: BlockReason
    until: float


def find_block(endpoint: str, back_offs: BackOffs, now: float) -> Block | None:
    """Return why an endpoint must not be sent to now, ``None`` if it may."""
    until = back_offs.find_until(endpoint, now)
    if until is not None:
        return Block(BlockReason.BACKED_OFF, until)
    if back_offs.is_window_full(endpoint, now):
        return Block(BlockReason.RETURNING, now + WINDOW_RECHECK_S)
    return None
