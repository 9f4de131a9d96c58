"""Oracle that checks the guarantees from what callers and endpoints see."""

from collections import Counter
from dataclasses import dataclass, field

from fescuekeel.const import LEAVING_BOUND_S, OWNER_LEASE_S
from fescuekeel.errors import ErrorKind, Ran

__all__ = ["END", "CallerRecord", "Oracle", "make_token", "make_whole_response"]

END = b"."
# A message takes at least 1 ms each way.
ROUND_TRIP_S = 0.0019
LEASE_SLACK_S = 0.01
# From the report on which an eviction is based to the arrival of its order.
EVICTION_TRIP_S = 0.01
CUT_ERRORS = frozenset({ErrorKind.ANSWER_CUT, ErrorKind.OUTCOME_UNKNOWN})


def make_token(request_id, adapter, position):
    """Return one token of the expected stream."""
    return f"<{request_id} {adapter} {position}>".encode()


def make_whole_response(request_id, adapter):
    """Return the expected response of a request that does not stream."""
    return f"<{request_id} {adapter}>".encode()


@dataclass(eq=False)
class CallerRecord:
    """What one caller sent and received.

    ``outcome`` is empty and ``ended_at`` is ``None`` until the response ends.
    """

    request_id: str
    adapter: object
    repeatable: bool
    stream: bool
    tokens: int
    started_at: float
    data: bytes = b""
    outcome: str = ""
    reported_ran: Ran | None = None
    caller_left: bool = False
    ended_at: float | None = None
    runs: list = field(default_factory=list)

    @property
    def expected(self):
        """Return the expected complete response."""
        if not self.stream:
            return make_whole_response(self.request_id, self.adapter)
        ids = range(self.tokens)
        tokens = [make_token(self.request_id, self.adapter, at) for at in ids]
        return b"".join(tokens) + END


class Oracle:
    """Records what callers and endpoints see, and each violation."""

    def __init__(self, world):
        self.world = world
        self.records_by_id = {}
        self.faults = []
        self.violations = []
        self.counts = Counter()

    def check(self, holds, guarantee, *details):
        """Record a violation; an exception in a task would be lost."""
        if not holds:
            self.violations.append(f"{guarantee}: {details} at {self.world.now:.3f}")

    def record_fault(self, name):
        """Record a fault, which permits cut responses for a while."""
        self.faults.append((self.world.now, name))

    # Seen by endpoints.

    def record_run(self, engine, call, written_at):
        record = self.records_by_id[call.request_id]
        record.runs.append(engine.id)
        self.counts["run"] += 1
        self.check(call.adapter == record.adapter, "ran on the wrong adapter", record)
        self.check(
            record.reported_ran is not Ran.NO,
            "ran after it was reported as not run",
            record,
        )
        once = record.repeatable or len(record.runs) == 1
        self.check(once, "a non-repeatable request ran twice", record)
        if engine.leaving_since is not None:
            late = written_at - engine.leaving_since
            # A lagging report delays the news that the endpoint leaves.
            bound = LEAVING_BOUND_S + engine.report_lag_s
            self.check(late <= bound, "new work for a leaving endpoint", record, late)

    def record_order(self, engine, node):
        """Check that an owner which sends an order holds the lease."""
        now = self.world.now
        paused_s = node.woke_at - node.paused_at
        # No report can have renewed the lease since the pause yet.
        is_early = now - node.woke_at < ROUND_TRIP_S
        held = is_early and paused_s > OWNER_LEASE_S + LEASE_SLACK_S
        self.check(not held, "order sent after the lease expired", engine.id, node.id)
        if engine.pool.fenced or not engine.pool.slots:
            return
        for other in self.world.list_paused_lease_holders(engine):
            # A node that started after the pause cannot have got a handover.
            late = other.paused_at < node.started
            self.check(
                not late,
                "order sent during another owner's lease",
                engine.id,
                node.id,
                other.id,
            )

    def record_eviction_in_use(self, engine, runs, written_at, owner):
        ids = [run.request_id for run in runs]
        delivery_s = self.world.now - written_at
        if engine.pool.fenced:
            self.check(
                False, "evicted while serving", engine.id, ids, owner, delivery_s
            )
        # docs/PROOF.md permits two cases: an order in flight for longer than a
        # lease, and two owners that do not know of each other, where the
        # lagging report did not show the other's run yet.
        deliveries = [delivery_s, *(run.delivery_s for run in runs)]
        age_s = max(self.world.now - run.started_at for run in runs)
        is_hidden = age_s <= engine.report_lag_s + EVICTION_TRIP_S
        is_split = self.world.is_split(engine)
        self.counts["unfenced_cut"] += 1
        excused = max(deliveries) > OWNER_LEASE_S or (is_split and is_hidden)
        details = ids, owner, deliveries, age_s
        self.check(excused, "evicted while serving, unfenced", *details)

    # Received by callers.

    def record_data(self, record, data):
        self.check(not record.outcome, "data after the end of the response", record)
        record.data += data
        right = record.expected.startswith(record.data)
        self.check(right, "the data is not a prefix of the expected response", record)

    def record_finish(self, record):
        self.check(not record.outcome, "the response ended twice", record)
        record.outcome, record.ended_at = "answered", self.world.now
        self.counts["answered"] += 1
        self.check(
            record.data == record.expected, "the response is not complete", record
        )

    def record_failure(self, record, failure):
        self.check(not record.outcome, "the response ended twice", record)
        record.outcome, record.reported_ran = failure.kind.value, failure.outcome
        record.ended_at = self.world.now
        self.counts[f"{failure.kind.value}.{failure.outcome.value}"] += 1
        if failure.outcome is Ran.NO:
            self.check(not record.runs, "reported as not run, but it ran", record)
        if failure.kind in CUT_ERRORS:
            recent = any(at >= record.started_at - 15.0 for at, _ in self.faults)
            excused = recent or self.world.has_lasting_fault
            self.check(excused, "a response was cut without a fault", record, failure)
