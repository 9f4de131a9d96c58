"""Tests of stopping a run."""

import asyncio
from pathlib import Path

import pytest

from standins import sample


class TestRunOrStop:
    def test_a_second_signal_leaves_no_process_behind(
        self, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
    ) -> None:
        # Guards against a second Ctrl-C cancelling the cleanup of the run.
        ended = []

        async def run(folder: Path, stay: bool, examples: Path) -> int:
            try:
                await asyncio.Event().wait()
            finally:
                await asyncio.sleep(0.05)
                ended.append(folder)
            return 0

        async def work() -> int:
            stopping = asyncio.Event()
            monkeypatch.setattr(sample, "run", run)
            running = asyncio.ensure_future(
                sample.run_or_stop(tmp_path, False, tmp_path, stopping)
            )
            for _ in range(2):
                await asyncio.sleep(0.01)
                stopping.set()
            return await running

        assert asyncio.run(work()) == sample.EXIT_INTERRUPTED
        assert ended == [tmp_path]
