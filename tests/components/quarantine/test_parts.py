"""Tests of parts of prompts in the component that shares crashes."""

from fescuekeel.components.gossip import Fact
from fescuekeel.components.quarantine.const import MAX_WRITTEN_S
from fescuekeel.components.quarantine.part_ledger import SuspectRun
from fescuekeel.components.quarantine.part_reports import pack_runs, unpack_runs
from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.fingerprint import fingerprint_parts
from tests.components.quarantine.test_component import run

KEYS = fingerprint_parts(["common", "bad", "other"], "account a")
OWNER, COMMON, BAD, OTHER = KEYS


def crash(quarantine, clock, count, parts=(OWNER, COMMON, BAD), **options):
    """Let new requests with some parts crash endpoints."""
    for _ in range(count):
        clock[0] += 1.0
        name = f"e{clock[0]}"
        fingerprint = fingerprint_parts([name], "request")[1]
        began_at = clock[0] - 0.1
        quarantine.record_crash("r", fingerprint, name, began_at, parts, **options)


def check(quarantine, *parts):
    return quarantine.check("ef" * 16, False, parts)


class TestCheck:
    def test_a_new_request_with_the_part_is_refused(self):
        def work(quarantine, instance, clock):
            quarantine.record_completed("12" * 16, (OWNER, COMMON, OTHER))
            crash(quarantine, clock, 2)
            assert check(quarantine, COMMON, BAD) is None
            crash(quarantine, clock, 1)
            failure = check(quarantine, COMMON, BAD)
            assert failure.kind is ErrorKind.QUARANTINED
            assert not failure.response.retry
            assert BAD in failure.detail

        run(work)

    def test_requests_with_the_same_first_part_are_not(self):
        def work(quarantine, instance, clock):
            crash(quarantine, clock, 4)
            assert check(quarantine, COMMON, OTHER) is None
            assert check(quarantine, COMMON) is None

        run(work)

    def test_a_part_that_completed_here_lately_is_not_reported(self):
        def work(quarantine, instance, clock):
            quarantine.record_completed("12" * 16, (OWNER, COMMON))
            crash(quarantine, clock, 1)
            assert quarantine._parts._ledger.list_suspects() == [BAD]

        run(work)

    def test_no_caller_can_have_the_parts_of_another_refused(self):
        def work(quarantine, instance, clock):
            crash(quarantine, clock, 5)
            theirs = fingerprint_parts(["common", "bad"], "account b")
            assert check(quarantine, *theirs) is None

        run(work)

    def test_a_run_that_had_written_for_long_is_no_suspect(self):
        def work(quarantine, instance, clock):
            crash(quarantine, clock, 5, written_s=MAX_WRITTEN_S + 0.1)
            assert check(quarantine, COMMON, BAD) is None

        run(work)


class TestRelease:
    def test_a_request_that_completes_releases_its_parts(self):
        def work(quarantine, instance, clock):
            crash(quarantine, clock, 4)
            quarantine.record_completed("12" * 16, (COMMON, BAD))
            assert check(quarantine, COMMON, BAD) is None

        run(work)

    def test_a_peer_learns_that_a_part_has_completed_here(self):
        """Guards against refusing what completes at other instances only."""

        def work(quarantine, instance, clock):
            quarantine.record_completed("12" * 16, (BAD,))
            gossip = instance.components_by_domain["gossip"]
            for number in range(2):
                payload = pack_runs([SuspectRun("34" * 16, (COMMON, BAD))])
                key = f"e{number}|i2|0"
                fact = Fact("part_crash", key, 1, payload, clock[0])
                gossip._merge(fact)
            assert gossip.knows("part_release", f"{BAD}|e0")
            assert gossip.knows("part_release", f"{BAD}|e1")
            assert not gossip.knows("part_release", f"{COMMON}|e0")

        run(work)

    def test_completions_alone_send_nothing(self):
        def work(quarantine, instance, clock):
            for number in range(100):
                quarantine.record_completed("12" * 16, (f"{number:032x}",))
            gossip = instance.components_by_domain["gossip"]
            assert not gossip._table.list_all()

        run(work)


class TestWire:
    def test_an_incomplete_run_is_left_out(self):
        runs = [SuspectRun("12" * 16, (COMMON,)), SuspectRun("34" * 16, (BAD, OTHER))]
        packed = pack_runs(runs)
        assert unpack_runs(packed) == runs
        assert unpack_runs(packed[:-1]) == runs[:1]
        assert unpack_runs(b"") == []
