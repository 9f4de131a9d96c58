"""The wire format of reports on parts of prompts in crashes."""

from collections.abc import Iterable

from fescuekeel.components.quarantine.part_ledger import SuspectRun
from fescuekeel.components.quarantine.reports import FINGERPRINT_BYTES

__all__ = ["pack_runs", "unpack_runs"]

# Of the byte with the number of parts, which is at most ``MAX_PARTS``.
SOUND_BIT = 0x80


def pack_runs(runs: Iterable[SuspectRun]) -> bytes:
    """Return runs in their wire format.

    Each has the request's fingerprint, the number of parts in a byte, whose
    highest bit says that another part is sound, and the keys of the parts.

    >>> runs = [SuspectRun("0" * 32, ("a" * 32, "b" * 32), True)]
    >>> unpack_runs(pack_runs(runs)) == runs
    True
    """
    return b"".join(
        bytes.fromhex(run.fingerprint)
        + bytes([len(run.parts) | (SOUND_BIT if run.has_sound_part else 0)])
        + bytes.fromhex("".join(run.parts))
        for run in runs
    )


def unpack_runs(payload: bytes) -> list[SuspectRun]:
    """Return the runs of a report; an incomplete one is left out."""
    runs = []
    start = 0
    while start + FINGERPRINT_BYTES < len(payload):
        first = start + FINGERPRINT_BYTES + 1
        count, is_sound = (
            payload[first - 1] & ~SOUND_BIT,
            payload[first - 1] & SOUND_BIT,
        )
        end = first + count * FINGERPRINT_BYTES
        if end > len(payload):
            break
        keys = payload[first:end].hex()
        digits = 2 * FINGERPRINT_BYTES
        parts = tuple(keys[at : at + digits] for at in range(0, len(keys), digits))
        fingerprint = payload[start : start + FINGERPRINT_BYTES].hex()
        runs.append(SuspectRun(fingerprint, parts, bool(is_sound)))
        start = end
    return runs
