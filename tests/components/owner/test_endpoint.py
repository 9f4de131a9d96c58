"""Tests of owners with a stand-in engine, under failures."""

import asyncio
from dataclasses import replace
from unittest import mock

import pytest

from fescuekeel.components.owner import orders, ownership, run
from fescuekeel.errors import ErrorKind
from fescuekeel.messages import (
    AdapterRef,
    EntryRunningWork,
    PeerConnectionLost,
    RunningWork,
)
from standins.engine_state import EngineSettings
from tests.common import eventually
from tests.components.owner.common import CUPS, Cluster, Node, run_scenario

COINS = AdapterRef("coins", "1")
ROPES = AdapterRef("ropes", "1")
LONG = 4000
NO_WAIT_S = 0.3


def get_runs(cluster: Cluster) -> list[str]:
    return [run.request_id for run in cluster.engine.runs]


async def start_owned(cluster: Cluster, id: str = "i1", *others: str) -> Node:
    node = await cluster.add(id)
    cluster.publish_view(node, id, *others)
    await eventually(lambda: node.state == "owned")
    return node


LATE_S = 0.05


def is_ended(node: Node, request_id: str, attempt: int) -> bool:
    end = node.ends_by_id.get(request_id)
    return end is not None and end.attempt == attempt


class TestSubmit:
    def test_request_is_loaded_dispatched_and_streamed(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            node = await cluster.add("i1")
            cluster.publish_view(node, "i1")
            answer = await node.submit("i1", "r1")
            assert answer.accepted
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == ""
            assert node.positions("r1") == list(range(10))
            assert get_runs(cluster) == ["r1"]
            assert list(cluster.engine.loaded) == [str(CUPS)]
            assert node.chunks[-1].tokens == 0

        run_scenario(scenario)

    def test_instance_that_is_not_the_owner_refuses(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            node = await cluster.add("i1")
            cluster.publish_view(node, "other")
            answer = await node.submit("i1", "r1")
            assert (answer.accepted, answer.kind) == (False, ErrorKind.NOT_OWNER)

        run_scenario(scenario)


class TestStartAndCancel:
    def test_non_repeatable_request_starts_only_if_the_entry_permits(self) -> None:
        """An entry retries a non-repeatable request on another owner.

        Guards against the first owner starting it as well when it reaches it
        in its queue.
        """

        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            for grants, request_id in ((False, "r1"), (None, "r2"), (True, "r3")):
                node.grants = grants
                await node.submit("i1", request_id, repeatable=False)
                await eventually(lambda: not node.endpoint.requests.runs_by_id)
                if request_id != "r1":
                    await eventually(lambda id=request_id: id in node.ends_by_id)
            assert node.ends_by_id["r2"].ran == "no"
            assert node.ends_by_id["r3"].kind == ""
            assert get_runs(cluster) == ["r3"]

        run_scenario(scenario)

    def test_cancelled_request_stops(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            await node.submit("i1", "r1", max_tokens=LONG)
            await eventually(lambda: node.positions("r1"))
            node.cancel("i1", "r1", attempt=7)
            node.cancel("i1", "r1")
            await eventually(lambda: "r1" in node.ends_by_id)
            end = node.ends_by_id["r1"]
            assert end.kind in ("answer_cut", "cancelled")
            assert end.ran != "no"
            assert not cluster.engine.running

        run_scenario(scenario)

    def test_late_cancellation_does_not_stop_the_next_attempt(self) -> None:
        """The cancellation of attempt 1 reaches the engine late.

        Guards against stopping attempt 2, whose caller still waits.
        """

        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            driver = node.endpoint.driver
            cancel = driver.cancel

            async def cancel_late(request_id: str) -> None:
                await asyncio.sleep(LATE_S)
                await cancel(request_id)

            cluster.engine.settings.prefill_steps = LONG
            await node.submit("i1", "r1", max_tokens=LONG)
            await eventually(lambda: cluster.engine.running)
            cluster.engine.settings.prefill_steps = 0
            with mock.patch.object(driver, "cancel", cancel_late):
                node.cancel("i1", "r1")
                await node.submit("i1", "r1", attempt=2, max_tokens=200)
                await eventually(lambda: is_ended(node, "r1", 2))
            assert node.ends_by_id["r1"].kind == ""
            assert node.positions("r1", 2) == list(range(200))

        run_scenario(scenario)

    def test_repeated_cancellation_does_not_stop_the_next_attempt(self) -> None:
        """A second cancellation of attempt 1 arrives after it has ended.

        Guards against stopping attempt 2, which was submitted meanwhile.
        """

        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            driver = node.endpoint.driver
            cancel = driver.cancel

            async def cancel_twice(request_id: str) -> None:
                await cancel(request_id)
                await asyncio.sleep(LATE_S)
                await cancel(request_id)

            cluster.engine.settings.prefill_steps = LONG
            await node.submit("i1", "r1", max_tokens=LONG)
            await eventually(lambda: cluster.engine.running)
            cluster.engine.settings.prefill_steps = 0
            with mock.patch.object(driver, "cancel", cancel_twice):
                node.cancel("i1", "r1")
                await eventually(lambda: is_ended(node, "r1", 1))
                await node.submit("i1", "r1", attempt=2, max_tokens=200)
                await eventually(lambda: is_ended(node, "r1", 2))
            assert node.ends_by_id["r1"].kind == ""
            assert node.positions("r1", 2) == list(range(200))

        run_scenario(scenario)

    def test_request_past_its_deadline_is_stopped_at_the_engine(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            await node.submit("i1", "r1", max_tokens=LONG, remaining_ms=300)
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == "answer_cut"
            await eventually(lambda: not cluster.engine.running)

        with mock.patch.object(run, "RUNNING_GRACE_S", NO_WAIT_S):
            run_scenario(scenario)


class TestTwoOwners:
    def test_fenced_engine_refuses_the_previous_owner(self) -> None:
        """Two instances own the same endpoint, as their views differ.

        The engine refuses orders with the lower fencing token; the caller
        learns that its request did not run, and no answer is cut.
        """

        async def scenario(cluster: Cluster) -> None:
            first = await start_owned(cluster, "i1")
            second = await start_owned(cluster, "i2")
            await second.submit("i2", "r2")
            await eventually(lambda: "r2" in second.ends_by_id)
            await first.submit("i1", "r1")
            await eventually(lambda: "r1" in first.ends_by_id)
            assert first.ends_by_id["r1"].ran == "no"
            assert first.instance.metrics.counters_by_name["owner.stale_fence"] == 1
            assert get_runs(cluster) == ["r2"]
            assert not cluster.engine.evictions_while_serving

        run_scenario(scenario)

    def test_resumed_owner_gives_no_order(self) -> None:
        """An owner resumes with a queued request after another took over.

        The engine ignores fencing tokens. The request must not reach it, and
        the entry must learn that it did not run.
        """

        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            node.grants = None
            await node.submit("i1", "r1", repeatable=False)
            await eventually(lambda: node.start_asks)
            node.clock.skipped_s += 60.0
            question = node.questions[-1]
            node.answer_start(question, granted=True)
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == "not_owner"
            assert node.ends_by_id["r1"].ran == "no"
            assert get_runs(cluster) == []

        run_scenario(scenario, fenced=False)


class TestTakeover:
    def start_stream(self, cluster: Cluster, adapter: AdapterRef) -> None:
        """Run a long stream of a lost owner on the engine."""
        cluster.engine.loaded[str(adapter)] = None
        cluster.engine.submit("old", str(adapter), "x", LONG, 0)

    def test_never_evicts_a_serving_adapter(self) -> None:
        """An owner dies while a request runs, and no slot is free.

        Guards against its successor evicting the adapter that still serves.
        """

        async def scenario(cluster: Cluster) -> None:
            self.start_stream(cluster, COINS)
            cluster.engine.loaded[str(CUPS)] = None
            node = await start_owned(cluster)
            await node.submit("i1", "r1", adapter=ROPES)
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == ""
            assert not cluster.engine.evictions_while_serving
            assert str(COINS) in cluster.engine.loaded
            assert str(CUPS) not in cluster.engine.loaded

        with mock.patch.object(ownership, "REPORT_LAG_S", NO_WAIT_S):
            run_scenario(scenario)

    def test_adapter_of_a_request_known_only_from_its_entry_is_kept(self) -> None:
        """The report lags behind a request that only its entry knows of.

        Guards against evicting the adapter of that request.
        """

        async def scenario(cluster: Cluster) -> None:
            await cluster.add("i2")
            known = (RunningWork("old", COINS, 60_000),)
            cluster.nodes_by_id["i2"].instance.bus.publish_state(
                EntryRunningWork(lambda endpoint: known)
            )
            cluster.engine.loaded |= {str(CUPS): None, str(COINS): None}
            cluster.engine.report()
            self.start_stream(cluster, COINS)
            node = await start_owned(cluster, "i1", "i2")
            await node.submit("i1", "r1", adapter=ROPES)
            await eventually(lambda: "r1" in node.ends_by_id)
            assert not cluster.engine.evictions_while_serving

        settings = EngineSettings(step_ms=2, slots=2, report_lag_s=60.0)
        with mock.patch.object(ownership, "REPORT_LAG_S", NO_WAIT_S):
            run_scenario(scenario, settings=settings)

    def test_stream_is_resumed_through_the_new_owner(self) -> None:
        """An owner is killed during a stream, and the entry asks the next one.

        The caller must get the remaining tokens, each once, without a second
        run on the engine.
        """

        async def scenario(cluster: Cluster) -> None:
            self.start_stream(cluster, CUPS)
            node = await start_owned(cluster)
            changes = {"attempt": 2, "resume": True, "resume_position": 5}
            answer = await node.submit("i1", "old", max_tokens=LONG, **changes)
            assert answer.accepted
            await eventually(lambda: len(node.positions("old", 2)) > 20)
            first, *_ = positions = node.positions("old", 2)
            assert positions == list(range(5, 5 + len(positions)))
            assert get_runs(cluster) == ["old"]
            assert first == 5

        run_scenario(scenario)

    def test_lost_chunks_are_resumed_by_the_same_owner(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            await node.submit("i1", "r1", max_tokens=300)
            await eventually(lambda: len(node.positions("r1")) > 10)
            changes = {"attempt": 2, "resume": True, "resume_position": 4}
            await node.submit("i1", "r1", max_tokens=300, **changes)
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].attempt == 2
            assert node.positions("r1", 2) == list(range(4, 300))
            assert get_runs(cluster) == ["r1"]

        run_scenario(scenario)

    def test_chunks_lost_with_a_connection_are_resent(self) -> None:
        """The connection to an entry breaks during a stream and is restored.

        Guards against a gap: the entry accepts only the next token, so the
        caller would wait forever or get a truncated answer.
        """

        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            await node.submit("i1", "r1", max_tokens=300)
            await eventually(lambda: len(node.positions("r1")) > 10)
            del node.chunks[3:]
            next_position = len(node.positions("r1"))
            node.instance.bus.publish(PeerConnectionLost("i1", reachable=True))
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == ""
            for chunk in node.chunks[3:]:
                if chunk.position == next_position:
                    next_position += chunk.tokens
            assert next_position == 300
            assert get_runs(cluster) == ["r1"]

        run_scenario(scenario)


class TestEngineFailures:
    def test_engine_restart_cuts_streams_and_reloads_adapters(self) -> None:
        """An engine restarts and loses its adapters and requests.

        The running stream must be reported as cut, and the next request must
        find its adapter loaded again.
        """

        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            await node.submit("i1", "r1", max_tokens=LONG)
            await eventually(lambda: node.positions("r1"))
            cluster.engine.restart()
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == "answer_cut"
            counters = node.instance.metrics.counters_by_name
            await eventually(lambda: counters["owner.endpoint_restarted"])
            await node.submit("i1", "r2")
            await eventually(lambda: "r2" in node.ends_by_id)
            assert node.ends_by_id["r2"].kind == ""

        run_scenario(scenario)

    def test_failed_load_is_retried(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            cluster.engine.settings.fail_loads = 1
            node = await start_owned(cluster)
            await node.submit("i1", "r1")
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == ""
            assert node.instance.metrics.counters_by_name["owner.load_failed"] == 1

        run_scenario(scenario)

    def test_request_does_not_run_if_all_loads_fail(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            cluster.engine.settings.fail_loads = 1000
            node = await start_owned(cluster)
            await node.submit("i1", "r1")
            await eventually(lambda: "r1" in node.ends_by_id)
            end = node.ends_by_id["r1"]
            assert (end.kind, end.ran) == ("load_failed", "no")
            assert get_runs(cluster) == []

        run_scenario(scenario)

    def test_internal_error_is_reported_to_the_entry(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a caller that waits forever after its task failed."""

        async def fail(failing: run.Run) -> None:
            raise RuntimeError("bug")

        async def scenario(cluster: Cluster) -> None:
            monkeypatch.setattr(run.Run, "run", fail)
            node = await start_owned(cluster)
            await node.submit("i1", "r1")
            await eventually(lambda: "r1" in node.ends_by_id)
            end = node.ends_by_id["r1"]
            assert (end.kind, end.ran) == (ErrorKind.INTERNAL, "unknown")
            assert node.instance.metrics.counters_by_name["owner.run_error"] == 1

        run_scenario(scenario)

    def test_unconfirmed_eviction_counts_as_done(self) -> None:
        """An eviction is not answered and may be executed at any later time.

        The adapter must get no more requests, and a new fencing token must
        make the engine refuse the late order.
        """

        async def scenario(cluster: Cluster) -> None:
            cluster.engine.loaded |= {str(CUPS): None, str(COINS): None}
            node = await start_owned(cluster)
            before = node.endpoint.ownership.fence
            await asyncio.sleep(2 * NO_WAIT_S)
            with mock.patch.object(
                node.endpoint.driver,
                "evict",
                mock.AsyncMock(
                    return_value=orders.OrderOutcome(False, unconfirmed=True)
                ),
            ):
                await node.submit("i1", "r1", adapter=ROPES, remaining_ms=1500)
                await eventually(lambda: len(node.endpoint.scheduler.loaded) == 1)
            assert node.endpoint.ownership.fence > before

        with mock.patch.object(ownership, "REPORT_LAG_S", NO_WAIT_S):
            run_scenario(scenario)


class TestHandover:
    def test_graceful_shutdown_cuts_no_stream(self) -> None:
        """An owner shuts down while it streams.

        The stream must continue to its end, and its successor must own the
        endpoint without waiting for the lease, although the engine ignores
        fencing tokens.
        """

        async def scenario(cluster: Cluster) -> None:
            first = await start_owned(cluster, "i1")
            second = await cluster.add("i2")
            for node in (first, second):
                cluster.publish_view(node, "i1", "i2")
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
            assert not cluster.engine.evictions_while_serving

        with mock.patch.object(ownership, "REPORT_LAG_S", NO_WAIT_S):
            run_scenario(scenario, fenced=False)

    def test_queued_requests_are_refused_when_ownership_is_lost(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            cluster.engine.settings.load_s = 5.0
            await node.submit("i1", "r1")
            cluster.publish_view(node, "other")
            await eventually(lambda: "r1" in node.ends_by_id)
            end = node.ends_by_id["r1"]
            assert (end.kind, end.ran) == ("not_owner", "no")
            await eventually(lambda: node.endpoint is None)

        run_scenario(scenario)

    def test_leaving_endpoint_finishes_but_gets_no_new_work(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            await node.submit("i1", "r1", max_tokens=200)
            await eventually(lambda: node.positions("r1"))
            cluster.publish_view(node, "i1", endpoint=False)
            await eventually(lambda: node.state == "absent")
            refused = await node.submit("i1", "r2")
            assert refused.kind == "not_owner"
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.positions("r1") == list(range(200))
            await eventually(lambda: node.endpoint is None)

        run_scenario(scenario)

    def test_queued_requests_of_a_lost_entry_are_refused(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            cluster.engine.settings.load_s = 5.0
            await node.submit("i1", "r1")
            node.instance.bus.publish(PeerConnectionLost("i1", reachable=True))
            await asyncio.sleep(0.05)
            assert "r1" not in node.ends_by_id
            node.instance.bus.publish(PeerConnectionLost("i1"))
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].ran == "no"

        run_scenario(scenario)


class TestSnapshot:
    def test_snapshot_shows_the_owned_endpoint(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            node = await start_owned(cluster)
            await node.submit("i1", "r1")
            await eventually(lambda: "r1" in node.ends_by_id)
            shown = node.endpoint.describe()
            assert (shown.state, shown.loaded) == ("owned", (CUPS,))
            assert replace(shown, fence=0).running == 0

        run_scenario(scenario)
