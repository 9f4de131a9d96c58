"""Tests of owners at work on a stand-in engine, under failures."""

import asyncio
from dataclasses import replace
from unittest import mock

import pytest

from fescuekeel.components.owner import orders, ownership, run
from fescuekeel.errors import ErrorKind
from fescuekeel.messages import (
    AdapterRef,
    EntryOpenWork,
    PeerConnectionLost,
    RunningWork,
)
from standins.engine_state import EngineSettings
from tests.common import eventually
from tests.components.owner.common import CUPS, Bed, Node, run_story

COINS = AdapterRef("coins", "1")
ROPES = AdapterRef("ropes", "1")
LONG = 4000
NO_WAIT_S = 0.3


def get_runs(bed: Bed) -> list[str]:
    return [run.request_id for run in bed.engine.runs]


async def start_owned(bed: Bed, id: str = "i1", *others: str) -> Node:
    node = await bed.add(id)
    bed.show(node, id, *others)
    await eventually(lambda: node.state == "owned")
    return node


LATE_S = 0.05


def is_ended(node: Node, request_id: str, attempt: int) -> bool:
    end = node.ends_by_id.get(request_id)
    return end is not None and end.attempt == attempt


class TestPath:
    def test_request_is_loaded_dispatched_and_streamed(self) -> None:
        async def story(bed: Bed) -> None:
            node = await bed.add("i1")
            bed.show(node, "i1")
            answer = await node.submit("i1", "r1")
            assert answer.accepted
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == ""
            assert node.positions("r1") == list(range(10))
            assert get_runs(bed) == ["r1"]
            assert list(bed.engine.loaded) == [str(CUPS)]
            assert node.chunks[-1].tokens == 0

        run_story(story)

    def test_instance_that_is_not_named_refuses(self) -> None:
        async def story(bed: Bed) -> None:
            node = await bed.add("i1")
            bed.show(node, "other")
            answer = await node.submit("i1", "r1")
            assert (answer.accepted, answer.kind) == (False, ErrorKind.NOT_OWNER)

        run_story(story)


class TestLeave:
    def test_hand_over_needs_the_entry_s_leave(self) -> None:
        """An entry gives up on a slow owner and sends a charge elsewhere.

        The slow owner reaches it in its queue later. Without asking the entry
        it would run a second time.
        """

        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            for grants, request_id in ((False, "r1"), (None, "r2"), (True, "r3")):
                node.grants = grants
                await node.submit("i1", request_id, repeatable=False)
                await eventually(lambda: not node.endpoint.requests.runs_by_id)
                if request_id != "r1":
                    await eventually(lambda id=request_id: id in node.ends_by_id)
            assert node.ends_by_id["r2"].ran == "no"
            assert node.ends_by_id["r3"].kind == ""
            assert get_runs(bed) == ["r3"]

        run_story(story)

    def test_cancelled_work_stops(self) -> None:
        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            await node.submit("i1", "r1", max_tokens=LONG)
            await eventually(lambda: node.positions("r1"))
            node.cancel("i1", "r1", attempt=7)
            node.cancel("i1", "r1")
            await eventually(lambda: "r1" in node.ends_by_id)
            end = node.ends_by_id["r1"]
            assert end.kind in ("answer_cut", "cancelled")
            assert end.ran != "no"
            assert not bed.engine.running

        run_story(story)

    def test_a_late_cancellation_spares_the_next_attempt(self) -> None:
        """A script ends as "cancelled" although its caller still waits.

        Attempt 1 is cancelled before its first token, and attempt 2 of the
        same request follows. What is sent to stop attempt 1 reaches the
        engine late, when attempt 2 could run there already.
        """

        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            driver = node.endpoint.driver
            cancel = driver.cancel

            async def cancel_late(request_id: str) -> None:
                await asyncio.sleep(LATE_S)
                await cancel(request_id)

            bed.engine.settings.prefill_steps = LONG
            await node.submit("i1", "r1", max_tokens=LONG)
            await eventually(lambda: bed.engine.running)
            bed.engine.settings.prefill_steps = 0
            with mock.patch.object(driver, "cancel", cancel_late):
                node.cancel("i1", "r1")
                await node.submit("i1", "r1", attempt=2, max_tokens=200)
                await eventually(lambda: is_ended(node, "r1", 2))
            assert node.ends_by_id["r1"].kind == ""
            assert node.positions("r1", 2) == list(range(200))

        run_story(story)

    def test_a_cancellation_outlives_the_run_that_it_stops(self) -> None:
        """As above, but attempt 1 has ended when attempt 2 arrives.

        The cancellation was sent twice, and the second one is on its way.
        """

        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            driver = node.endpoint.driver
            cancel = driver.cancel

            async def cancel_twice(request_id: str) -> None:
                await cancel(request_id)
                await asyncio.sleep(LATE_S)
                await cancel(request_id)

            bed.engine.settings.prefill_steps = LONG
            await node.submit("i1", "r1", max_tokens=LONG)
            await eventually(lambda: bed.engine.running)
            bed.engine.settings.prefill_steps = 0
            with mock.patch.object(driver, "cancel", cancel_twice):
                node.cancel("i1", "r1")
                await eventually(lambda: is_ended(node, "r1", 1))
                await node.submit("i1", "r1", attempt=2, max_tokens=200)
                await eventually(lambda: is_ended(node, "r1", 2))
            assert node.ends_by_id["r1"].kind == ""
            assert node.positions("r1", 2) == list(range(200))

        run_story(story)

    def test_work_past_its_time_is_stopped_at_the_engine(self) -> None:
        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            await node.submit("i1", "r1", max_tokens=LONG, remaining_ms=300)
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == "answer_cut"
            await eventually(lambda: not bed.engine.running)

        with mock.patch.object(run, "RUNNING_GRACE_S", NO_WAIT_S):
            run_story(story)


class TestTwoOwners:
    def test_fenced_engine_refuses_the_earlier_owner(self) -> None:
        """Two views differ, and each names its own instance for a while.

        Requests come to both. The engine obeys the one with the higher
        number; the other's order is refused, did not run, and its caller is
        told so. No answer is cut.
        """

        async def story(bed: Bed) -> None:
            first = await start_owned(bed, "i1")
            second = await start_owned(bed, "i2")
            await second.submit("i2", "r2")
            await eventually(lambda: "r2" in second.ends_by_id)
            await first.submit("i1", "r1")
            await eventually(lambda: "r1" in first.ends_by_id)
            assert first.ends_by_id["r1"].ran == "no"
            assert first.instance.metrics.counters_by_name["owner.stale_fence"] == 1
            assert get_runs(bed) == ["r2"]
            assert not bed.engine.evictions_while_serving

        run_story(story)

    def test_paused_owner_that_wakes_up_gives_no_order(self) -> None:
        """An owner is paused with a request in its queue, and wakes up.

        Its engine ignores fencing numbers, and another owner has taken over.
        What it had queued must not reach the engine, and the entry must hear
        that it did not run.
        """

        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            node.grants = None
            await node.submit("i1", "r1", repeatable=False)
            await eventually(lambda: node.asked)
            node.clock.skipped_s += 60.0
            question = node.questions[-1]
            node.answer_start(question, granted=True)
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == "not_owner"
            assert node.ends_by_id["r1"].ran == "no"
            assert get_runs(bed) == []

        run_story(story, fenced=False)


class TestTakeover:
    def start_stream(self, bed: Bed, adapter: AdapterRef) -> None:
        """Let the engine run a long stream of an owner that is gone."""
        bed.engine.loaded[str(adapter)] = None
        bed.engine.submit("old", str(adapter), "x", LONG, 0)

    def test_never_evicts_what_serves(self) -> None:
        """An owner dies in the middle of a long script.

        Its successor has requests for other adapters and no free slot. The
        script goes on to its end, and only what serves nothing is evicted.
        """

        async def story(bed: Bed) -> None:
            self.start_stream(bed, COINS)
            bed.engine.loaded[str(CUPS)] = None
            node = await start_owned(bed)
            await node.submit("i1", "r1", adapter=ROPES)
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == ""
            assert not bed.engine.evictions_while_serving
            assert str(COINS) in bed.engine.loaded
            assert str(CUPS) not in bed.engine.loaded

        with mock.patch.object(ownership, "REPORT_LAG_S", NO_WAIT_S):
            run_story(story)

    def test_trusts_entries_more_than_an_old_report(self) -> None:
        """The report is seconds old, and the entry knows of newer work.

        What only the entry knows of must keep its adapter all the same.
        """

        async def story(bed: Bed) -> None:
            await bed.add("i2")
            known = (RunningWork("old", COINS, 60_000),)
            bed.nodes_by_id["i2"].instance.bus.publish_state(
                EntryOpenWork(lambda endpoint: known)
            )
            bed.engine.loaded |= {str(CUPS): None, str(COINS): None}
            bed.engine.report()
            self.start_stream(bed, COINS)
            node = await start_owned(bed, "i1", "i2")
            await node.submit("i1", "r1", adapter=ROPES)
            await eventually(lambda: "r1" in node.ends_by_id)
            assert not bed.engine.evictions_while_serving

        settings = EngineSettings(step_ms=2, slots=2, report_lag_s=60.0)
        with mock.patch.object(ownership, "REPORT_LAG_S", NO_WAIT_S):
            run_story(story, settings=settings)

    def test_stream_is_resumed_through_the_new_owner(self) -> None:
        """An owner is killed in mid-stream; the entry asks its successor.

        The caller gets the rest of the tokens, each once, from the run that
        goes on in the engine.
        """

        async def story(bed: Bed) -> None:
            self.start_stream(bed, CUPS)
            node = await start_owned(bed)
            changes = {"attempt": 2, "resume": True, "resume_position": 5}
            answer = await node.submit("i1", "old", max_tokens=LONG, **changes)
            assert answer.accepted
            await eventually(lambda: len(node.positions("old", 2)) > 20)
            first, *_ = positions = node.positions("old", 2)
            assert positions == list(range(5, 5 + len(positions)))
            assert get_runs(bed) == ["old"]
            assert first == 5

        run_story(story)

    def test_lost_pieces_are_read_again_by_the_same_owner(self) -> None:
        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            await node.submit("i1", "r1", max_tokens=300)
            await eventually(lambda: len(node.positions("r1")) > 10)
            changes = {"attempt": 2, "resume": True, "resume_position": 4}
            await node.submit("i1", "r1", max_tokens=300, **changes)
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].attempt == 2
            assert node.positions("r1", 2) == list(range(4, 300))
            assert get_runs(bed) == ["r1"]

        run_story(story)

    def test_pieces_lost_with_a_connection_leave_no_hole(self) -> None:
        """The connection to an entry breaks in mid-stream and comes back.

        Some pieces are lost with it. The entry takes only the next token, so
        that the caller would wait for ever, or get half an answer as whole.
        """

        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            await node.submit("i1", "r1", max_tokens=300)
            await eventually(lambda: len(node.positions("r1")) > 10)
            del node.chunks[3:]
            stands_at = len(node.positions("r1"))
            node.instance.bus.publish(PeerConnectionLost("i1", reachable=True))
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == ""
            for chunk in node.chunks[3:]:
                if chunk.position == stands_at:
                    stands_at += chunk.tokens
            assert stands_at == 300
            assert get_runs(bed) == ["r1"]

        run_story(story)


class TestEngineFailures:
    def test_cold_restart_reloads_and_tells(self) -> None:
        """An engine restarts and has lost its adapters and requests.

        The stream that ran is reported as cut, not as whole, and the next
        request finds its adapter loaded again.
        """

        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            await node.submit("i1", "r1", max_tokens=LONG)
            await eventually(lambda: node.positions("r1"))
            bed.engine.restart()
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == "answer_cut"
            counters = node.instance.metrics.counters_by_name
            await eventually(lambda: counters["owner.endpoint_restarted"])
            await node.submit("i1", "r2")
            await eventually(lambda: "r2" in node.ends_by_id)
            assert node.ends_by_id["r2"].kind == ""

        run_story(story)

    def test_load_that_fails_partway_is_tried_again(self) -> None:
        async def story(bed: Bed) -> None:
            bed.engine.settings.fail_loads = 1
            node = await start_owned(bed)
            await node.submit("i1", "r1")
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == ""
            assert node.instance.metrics.counters_by_name["owner.load_failed"] == 1

        run_story(story)

    def test_load_that_always_fails_means_not_run(self) -> None:
        async def story(bed: Bed) -> None:
            bed.engine.settings.fail_loads = 1000
            node = await start_owned(bed)
            await node.submit("i1", "r1")
            await eventually(lambda: "r1" in node.ends_by_id)
            end = node.ends_by_id["r1"]
            assert (end.kind, end.ran) == ("load_failed", "no")
            assert get_runs(bed) == []

        run_story(story)

    def test_fault_of_ours_is_answered(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A caller waits for ever since its task died of a bug."""

        async def fail(failing: run.Run) -> None:
            raise RuntimeError("bug")

        async def story(bed: Bed) -> None:
            monkeypatch.setattr(run.Run, "run", fail)
            node = await start_owned(bed)
            await node.submit("i1", "r1")
            await eventually(lambda: "r1" in node.ends_by_id)
            end = node.ends_by_id["r1"]
            assert (end.kind, end.ran) == (ErrorKind.INTERNAL, "unknown")
            assert node.instance.metrics.counters_by_name["owner.run_error"] == 1

        run_story(story)

    def test_eviction_without_an_answer_counts_as_done(self) -> None:
        """An eviction is sent and its connection goes silent.

        It may be obeyed at any later time. The adapter must not be handed
        more work, and a new number keeps the order from being obeyed late.
        """

        async def story(bed: Bed) -> None:
            bed.engine.loaded |= {str(CUPS): None, str(COINS): None}
            node = await start_owned(bed)
            before = node.endpoint.ownership.fence
            await asyncio.sleep(2 * NO_WAIT_S)
            with mock.patch.object(
                node.endpoint.driver,
                "evict",
                mock.AsyncMock(return_value=orders.OrderOutcome(False, unsure=True)),
            ):
                await node.submit("i1", "r1", adapter=ROPES, remaining_ms=1500)
                await eventually(lambda: len(node.endpoint.scheduler.loaded) == 1)
            assert node.endpoint.ownership.fence > before

        with mock.patch.object(ownership, "REPORT_LAG_S", NO_WAIT_S):
            run_story(story)


class TestHandover:
    def test_graceful_stop_cuts_nothing(self) -> None:
        """An owner is told to shut down while it streams.

        The stream goes on through it to its end. What it had queued runs
        elsewhere, and its successor owns the endpoint without any wait for
        the old lease, although the engine ignores fencing numbers.
        """

        async def story(bed: Bed) -> None:
            first = await start_owned(bed, "i1")
            second = await bed.add("i2")
            for node in (first, second):
                bed.show(node, "i1", "i2")
            await eventually(lambda: first.endpoint.ownership.may_evict(first.now))
            await first.submit("i1", "r1", max_tokens=700)
            await eventually(lambda: first.positions("r1"))
            first.instance.draining = True
            stopping = asyncio.create_task(first.owner.stop())
            await eventually(lambda: second.state == "owned")
            assert "r1" not in first.ends_by_id
            refused = await first.submit("i1", "r2")
            assert refused.kind == "draining"
            await second.submit("i2", "r3")
            await stopping
            assert first.ends_by_id["r1"].kind == ""
            assert first.positions("r1") == list(range(700))
            await eventually(lambda: "r3" in second.ends_by_id)
            assert not bed.engine.evictions_while_serving

        with mock.patch.object(ownership, "REPORT_LAG_S", NO_WAIT_S):
            run_story(story, fenced=False)

    def test_queue_goes_back_when_ownership_moves(self) -> None:
        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            bed.engine.settings.load_s = 5.0
            await node.submit("i1", "r1")
            bed.show(node, "other")
            await eventually(lambda: "r1" in node.ends_by_id)
            end = node.ends_by_id["r1"]
            assert (end.kind, end.ran) == ("not_owner", "no")
            await eventually(lambda: node.endpoint is None)

        run_story(story)

    def test_leaving_endpoint_finishes_and_gets_no_more(self) -> None:
        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            await node.submit("i1", "r1", max_tokens=200)
            await eventually(lambda: node.positions("r1"))
            bed.show(node, "i1", endpoint=False)
            await eventually(lambda: node.state == "absent")
            refused = await node.submit("i1", "r2")
            assert refused.kind == "not_owner"
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.positions("r1") == list(range(200))
            await eventually(lambda: node.endpoint is None)

        run_story(story)

    def test_queue_of_a_lost_entry_is_dropped(self) -> None:
        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            bed.engine.settings.load_s = 5.0
            await node.submit("i1", "r1")
            node.instance.bus.publish(PeerConnectionLost("i1", reachable=True))
            await asyncio.sleep(0.05)
            assert "r1" not in node.ends_by_id
            node.instance.bus.publish(PeerConnectionLost("i1"))
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].ran == "no"

        run_story(story)


class TestSnapshot:
    def test_operators_see_what_is_owned(self) -> None:
        async def story(bed: Bed) -> None:
            node = await start_owned(bed)
            await node.submit("i1", "r1")
            await eventually(lambda: "r1" in node.ends_by_id)
            shown = node.endpoint.describe()
            assert (shown.state, shown.loaded) == ("owned", (CUPS,))
            assert replace(shown, fence=0).running == 0

        run_story(story)
