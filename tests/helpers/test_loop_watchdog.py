"""Tests that a blocked event loop terminates its process, and only that."""

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from fescuekeel.helpers.loop_watchdog import EXIT_LOOP_BLOCKED

ROOT = Path(__file__).parent.parent.parent
LIMIT_CPU_S = 0.4
# Runs the watchdog beside the work of a test.
PROGRAM = """
import asyncio, time
from msgspec import structs
from fescuekeel.core import Instance
from fescuekeel.helpers import loop_watchdog
from fescuekeel.helpers.logging import LineDestination, log_event
from tests.common import make_settings

loop_watchdog.TICK_S = 0.1

async def spin_in_coroutine():
    while True:
        pass

async def join_an_ended_task():
    ended = asyncio.ensure_future(asyncio.sleep(0))
    await ended
    while True:
        await asyncio.shield(ended)

async def work_in_short_turns():
    until = time.monotonic() + 4 * {limit}
    while time.monotonic() < until:
        await asyncio.sleep(0)
    print("done")

async def be_stopped():
    print("ready", flush=True)
    time.sleep(0.01)
    await asyncio.sleep(4 * {limit})
    print("done")

async def be_stopped_while_processor_time_goes_on():
    time.process_time = time.monotonic
    await asyncio.sleep(0.2)
    await be_stopped()

async def lose_a_request():
    log_event("first")
    await spin_in_coroutine()

async def run(selector):
    settings = make_settings("i1")
    limited = structs.replace(settings.instance, blocked_loop_cpu_s={limit})
    instance = Instance(structs.replace(settings, instance=limited))
    instance.end_reporters.append(
        lambda reason: log_event("request_cut", request_id="r1", reason=reason)
    )
    watchdog = loop_watchdog.LoopWatchdog(instance, selector)
    instance.spawn(watchdog.run(), "watchdog")
    await asyncio.sleep(0.2)
    await {work}()
    longest = instance.metrics.histograms_by_name["longest_turn"]
    print("ticks", longest.get_total_count())

def fill_the_log():
    for number in range(8_000):
        log_event(f"filler-{{number}}", text="x" * 100)

LineDestination().start()
{before}
selector = loop_watchdog.TurnSelector()
with asyncio.Runner(loop_factory=lambda: loop_watchdog.make_loop(selector)) as runner:
    runner.run(run(selector))
"""


def start(work, before=""):
    program = PROGRAM.format(work=work, limit=LIMIT_CPU_S, before=before)
    return subprocess.Popen(
        [sys.executable, "-c", program],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


class TestLoopWatchdog:
    @pytest.mark.parametrize("work", ["spin_in_coroutine", "join_an_ended_task"])
    def test_blocked_loop_ends_the_process_with_its_stacks(self, work):
        """Guards against a process that lives on and serves nothing."""
        process = start(work)
        _, errors = process.communicate(timeout=60)
        assert process.returncode == EXIT_LOOP_BLOCKED
        assert work in errors

    def test_open_requests_are_logged_before_the_process_ends(self):
        # Guards against requests that a blocked process cuts without a line.
        process = start("lose_a_request")
        output, _ = process.communicate(timeout=60)
        assert process.returncode == EXIT_LOOP_BLOCKED
        assert "event=instance_blocked cpu_ms=" in output
        assert "event=request_cut request_id=r1 reason=loop_blocked" in output

    def test_reader_that_reads_nothing_does_not_keep_the_process(self):
        # Guards against a blocked process that waits for its log's reader.
        process = start("lose_a_request", "fill_the_log()")
        assert process.wait(timeout=60) == EXIT_LOOP_BLOCKED
        process.communicate(timeout=60)

    def test_busy_loop_that_turns_is_left_alone(self):
        """Guards against ending a process that is only busy."""
        process = start("work_in_short_turns")
        output, errors = process.communicate(timeout=60)
        assert process.returncode == 0, errors
        assert "done" in output

    @pytest.mark.parametrize(
        "work", ["be_stopped", "be_stopped_while_processor_time_goes_on"]
    )
    def test_stopped_process_is_left_alone(self, work):
        """Guards against ending a process that was paused or suspended."""
        process = start(work)
        assert process.stdout.readline() == "ready\n"
        process.send_signal(signal.SIGSTOP)
        time.sleep(8 * LIMIT_CPU_S)
        process.send_signal(signal.SIGCONT)
        output, errors = process.communicate(timeout=60)
        assert process.returncode == 0, errors
        assert "done" in output
