"""What endpoints still run when an instance starts; decisions are pure.

An endpoint goes on with a run for a while after the instance that asked for it
has lost its power, and its report names the run by the id of its attempt. That
tells the software version of the stream where no instance remembers it.
"""

from collections.abc import Iterable

from fescuekeel.components.origins.const import MAX_READ_ENDPOINTS, MAX_RUNS_READ
from fescuekeel.components.origins.ledger import AMBIGUOUS, StreamOrigin
from fescuekeel.helpers.dialect import EndpointReport
from fescuekeel.helpers.incarnation import UNKNOWN_BORN_MS
from fescuekeel.helpers.published import EndpointRecord
from fescuekeel.util import rendezvous

__all__ = ["choose_endpoints", "find_origins"]


def choose_endpoints(
    own_id: str, records: Iterable[EndpointRecord]
) -> list[EndpointRecord]:
    """Return the endpoints whose reports an instance reads when it starts.

    Their number is bounded; instances of a large fleet choose different ones.

    >>> ids = [f"e{number}" for number in range(40)]
    >>> records = [EndpointRecord(id, "s", "", "", 8, False) for id in ids]
    >>> len(choose_endpoints("i1", records))
    16
    """
    records_by_id = {record.id: record for record in records}
    ranked = rendezvous.rank(own_id, records_by_id)
    return [records_by_id[id] for id in ranked[:MAX_READ_ENDPOINTS]]


def find_origins(
    reports: Iterable[tuple[EndpointRecord, EndpointReport]],
) -> dict[str, StreamOrigin]:
    """Return the origins of the attempts that endpoints name, by their ids.

    A report of another start of an endpoint tells nothing, as its version is
    not known; an attempt that runs at two versions has no origin.

    >>> record = EndpointRecord("e1@7", "s", "", "", 8, False, software="v1")
    >>> report = EndpointReport(
    ...     {}, frozenset(), False, 1, 0, 0, 0, born_ms=7, running_ids=("r1",)
    ... )
    >>> find_origins([(record, report)])
    {'r1': StreamOrigin(service='s', software='v1')}
    """
    origins_by_id: dict[str, StreamOrigin] = {}
    for record, report in reports:
        if report.born_ms not in (record.born_ms, UNKNOWN_BORN_MS):
            continue
        origin = StreamOrigin(record.service, record.software)
        for id in report.running_ids[:MAX_RUNS_READ]:
            known = origins_by_id.setdefault(id, origin)
            if known != origin:
                origins_by_id[id] = AMBIGUOUS
    return origins_by_id
