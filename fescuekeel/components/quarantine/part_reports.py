"""The wire format of reports on parts of prompts in crashes."""

from collections.abc import Iterable

from fescuekeel.components.quarantine.part_ledger import SuspectRun
from fescuekeel.components.quarantine.reports import FINGERPRINT_BYTES

__all__ = ["pack_runs", "unpack_runs"]


def pack_runs(runs: Iterable[SuspectRun]) -> bytes:
    """Return runs in their wire format.

    Each has the request's fingerprint, the number of parts in a byte, and the
    keys of the parts.

    >>> runs = [SuspectRun("0" * 32, ("a" * 32, "b" * 32))]
    >>> unpack_runs(pack_runs(runs)) == runs
    True
    """
    return b"".join(
        bytes.fromhex(run.fingerprint)
        + bytes([len(run.parts)])
        + bytes.fromhex("".join(run.parts))
        for run in runs
    )


def unpack_runs(payload: bytes) -> list[SuspectRun]:
    """Return the runs of a report; an incomplete one is left out."""
    runs = []
    start = 0
    while start + FINGERPRINT_BYTES < len(payload):
        first = start + FINGERPRINT_BYTES + 1
        end = first + payload[first - 1] * FINGERPRINT_BYTES
        if end > len(payload):
            break
        keys = payload[first:end].hex()
        digits = 2 * FINGERPRINT_BYTES
        parts = tuple(keys[at : at + digits] for at in range(0, len(keys), digits))
        fingerprint = payload[start : start + FINGERPRINT_BYTES].hex()
        runs.append(SuspectRun(fingerprint, parts))
        start = end
    return runs
