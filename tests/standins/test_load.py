"""Tests of the sample load and of the checks of its results."""

import asyncio
import hashlib
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from standins.engine_http import start_engine
from standins.engine_state import EngineSettings
from standins.journals import count_runs, find_run_violations
from standins.load import Caller, Result, SampleRequest, Verdict
from standins.plain import start_plain
from standins.plan import make_plan
from standins.platform import VANDENBROUCKE, start_deployment
from standins.table import format_summary, format_table
from standins.trees import Tree, read_tree
from tests.standins.common import run, until

TOKEN = "a-token-of-the-tests"
TREE = f"""
[pool engines]
kind = engine

[pool plain]
kind = plain

[shop s]
token_sha256 = {hashlib.sha256(TOKEN.encode()).hexdigest()}
pool = engines

[service s/reports]

[roster s/reports]
names =
    roof 2 1
    wall 1.10

[service s/quote]
pool = plain
repeatable = no
"""


def make_request(**changes: Any) -> SampleRequest:
    values: dict[str, Any] = {
        "marker": "sample-a-0001",
        "shop": "s",
        "service": "reports",
        "token": TOKEN,
        "due_s": 0.0,
        "timeout_s": 0.5,
        "repeatable": True,
        "model": "a@1",
        "served_by": "a@1",
        "prompt": "sample-a-0001",
        "max_tokens": 5,
    }
    return SampleRequest(**{**values, **changes})


def make_tree(folder: Path) -> Tree:
    (folder / "main.ini").write_text(TREE, "utf-8")
    return read_tree(folder)


class TestCaller:
    """Calls an engine directly; it accepts the body that callers send."""

    @pytest.mark.parametrize("stream", [False, True])
    def test_only_a_complete_and_correct_response_is_answered(
        self, stream: bool
    ) -> None:
        async def work() -> None:
            engine, server = await start_engine(EngineSettings(step_ms=1))
            engine.control({"loaded": ["a@1"]})
            caller = Caller([server.address])
            right = await caller.send(make_request(stream=stream))
            wrong = await caller.send(make_request(stream=stream, served_by="a@2"))
            engine.connection_faults.mute = 1
            silent = await caller.send(make_request(stream=stream))
            cut = asyncio.ensure_future(
                caller.send(make_request(stream=stream, max_tokens=400))
            )
            await until(lambda: engine.running)
            engine.restart()
            assert right.verdict is Verdict.ANSWERED, right.detail
            assert (right.first_chunk_s is not None) is stream
            assert wrong.detail == "answered by a@1, not a@2"
            assert silent.detail.startswith("no final answer")
            results = [right, wrong, silent, await cut]
            assert [item.verdict for item in results[1:]] == [Verdict.LOST] * 3
            summary = "summary answered=1 refused=0 lost=3 doubled=0"
            assert format_summary(results, []) == summary
            assert "s/reports" in format_table(results)
            engine.stop()
            await server.stop()

        run(work())

    def test_response_to_another_request_is_lost(self) -> None:
        async def work() -> None:
            _, server = await start_plain(delay_s=0)
            caller = Caller([server.address])
            plain = {"model": "", "path": "/items?marker=sample-a-0001"}
            right = await caller.send(make_request(**plain))
            other = await caller.send(
                make_request(**plain, marker="sample-a-0002", method="GET")
            )
            assert right.verdict is Verdict.ANSWERED
            assert other.detail == "another request's answer"
            await server.stop()

        run(work())


class TestFindRunViolations:
    def test_finds_only_runs_that_contradict_the_results(self) -> None:
        once = make_request(repeatable=False)
        answered = Result(once, Verdict.ANSWERED)
        refused = Result(once, Verdict.REFUSED, kind="queue_full", ran="no")
        unknown = Result(once, Verdict.REFUSED, kind="outcome_unknown", ran="unknown")
        again = Result(make_request(), Verdict.ANSWERED)
        for results, runs, expected in (
            ([answered], 1, 0),
            ([answered], 2, 1),
            ([again], 2, 0),
            ([refused], 0, 0),
            ([refused], 1, 1),
            ([unknown], 1, 0),
            ([answered, refused], 1, 0),
        ):
            found = find_run_violations(results, Counter({once.marker: runs}))
            assert len(found) == expected, (results, runs)

    def test_counts_runs_of_both_kinds_of_endpoint(self) -> None:
        engine = {"runs": [{"prompt": "sample-a-0001 for x", "started": 1.0}] * 2}
        engine["runs"].append({"prompt": "sample-a-0002 for x", "started": 0.0})
        call = {"path": "/x?marker=sample-a-0003", "body": "", "started": 1.0}
        runs = count_runs([engine, {"runs": [call]}])
        assert runs == {"sample-a-0001": 2, "sample-a-0003": 1}


class TestPlan:
    def test_is_drawn_from_the_tree_and_deterministic(self, tmp_path: Path) -> None:
        tree = make_tree(tmp_path)
        text = f"The token of the shop is `{TOKEN}`."
        plan = make_plan("d", tree, text, 40, 10.0)
        assert plan == make_plan("d", tree, text, 40, 10.0)
        assert {item.token for item in plan} == {TOKEN}
        assert {item.served_by for item in plan} == {"roof@2", "wall@1.10", ""}
        assert {item.stream for item in plan} == {True, False}
        keys = Counter(item.key for item in plan if item.key)
        assert max(keys.values()) == 2
        with pytest.raises(ValueError, match="no token"):
            make_plan("d", tree, "no token here", 1, 1.0)


class TestPlatform:
    def test_has_the_sizes_of_the_deployment(self, tmp_path: Path) -> None:
        async def work() -> None:
            tree = make_tree(tmp_path)
            pools = tree.intent.pools_by_name
            platform = await start_deployment(VANDENBROUCKE, pools, 2)
            platform.publish(1, tree.contents_by_part)
            platform.add_instance("i1", "127.0.0.1:1", "flanders-1")
            assert len(platform.engines_by_id) == 9
            assert len(platform.plains_by_id) == 3
            roles = Counter(
                entry.role for entry in platform.live.entries_by_id.values()
            )
            assert roles == {"endpoint": 12, "instance": 1}
            assert platform.config.read("tree/1/main") is not None
            await platform.stop()

        run(work())
