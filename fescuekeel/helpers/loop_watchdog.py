"""Terminate the process when its event loop is blocked.

A coroutine that loops without waiting blocks everything else in the process:
callers, peers, probes and logs. The platform restarts a process that ends, but
not one that only stops responding.
"""

import asyncio
import faulthandler
import os
import selectors
import signal
import sys
import time
from typing import Final

from fescuekeel.core import Instance
from fescuekeel.helpers.logging import flush_destinations, log_event
from fescuekeel.helpers.ticks import sleep_to_tick

__all__ = ["EXIT_LOOP_BLOCKED", "LoopWatchdog", "TurnSelector", "make_loop"]

EXIT_LOOP_BLOCKED: Final = 70
# Much longer than a turn takes, and shared with other tasks' ticks.
TICK_S: Final = 1.0
# The timer fires this often in a blocked turn before the process ends, the
# first time after the limit, then after this share of it.
MIN_FIRINGS: Final = 3
REPEAT_SHARE: Final = 0.2
# How long the process waits for a slow reader of its log before it ends.
LAST_FLUSH_S: Final = 0.5


class TurnSelector(selectors.DefaultSelector):
    """Selector that measures the turns of the event loop.

    A turn lasts from the end of one selection to the start of the next.
    """

    def __init__(self) -> None:
        super().__init__()
        self._turn_began_at = time.monotonic()
        self._longest_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events; the current turn ends with the call."""
        took_s = time.monotonic() - self._turn_began_at
        self._longest_s = max(self._longest_s, took_s)
        try:
            return super().select(timeout)
        finally:
            self._turn_began_at = time.monotonic()

    def take_longest_s(self) -> float:
        """Return the longest turn since the previous call, in seconds."""
        longest_s, self._longest_s = self._longest_s, 0.0
        return longest_s


class LoopWatchdog:
    """Write the stacks of all threads and terminate a blocked process.

    A timer that each tick of the loop restarts interrupts a blocked turn. The
    limit is in seconds of processor time that this process has used since, not
    of the clock: a process that was stopped, or whose machine was suspended,
    has used none, and its timer is restarted.

    Not every platform has timers of processor time, so this one runs on the
    clock, and where the processor time counts a pause as well, the loop gets
    the time to turn afterwards, as the timer has to fire several times. It
    does not interrupt a turn that stays in C code.
    """

    def __init__(self, instance: Instance, selector: TurnSelector) -> None:
        self._instance = instance
        self._selector = selector
        self._cpu_at_tick = 0.0
        self._firings = 0

    async def run(self) -> None:
        """Restart the timer at each tick, until cancelled."""
        previous = signal.signal(signal.SIGALRM, self._handle_timer)
        try:
            while True:
                self._cpu_at_tick = time.process_time()
                self._firings = 0
                signal.setitimer(signal.ITIMER_REAL, self._limit_s)
                await sleep_to_tick(TICK_S)
                longest_s = self._selector.take_longest_s()
                self._instance.metrics.observe("longest_turn", longest_s)
        finally:
            signal.setitimer(signal.ITIMER_REAL, 0.0)
            signal.signal(signal.SIGALRM, previous)

    @property
    def _limit_s(self) -> float:
        return self._instance.settings.instance.blocked_loop_cpu_s

    def _handle_timer(self, number: int, frame: object) -> None:
        self._firings += 1
        used_s = time.process_time() - self._cpu_at_tick
        if used_s < self._limit_s or self._firings < MIN_FIRINGS:
            signal.setitimer(signal.ITIMER_REAL, self._limit_s * REPEAT_SHARE)
            return
        sys.stderr.write(
            f"fescuekeeld: event loop blocked for {used_s:.1f} s of processor time\n"
        )
        faulthandler.dump_traceback(all_threads=True)
        try:
            self._log_end(used_s)
        except Exception as error:
            sys.stderr.write(f"fescuekeeld: last log lines failed: {error!r}\n")
        finally:
            # The loop cannot run a shutdown.
            os._exit(EXIT_LOOP_BLOCKED)

    def _log_end(self, used_s: float) -> None:
        """Log what is lost, and wait until it is written."""
        log_event("instance_blocked", cpu_ms=round(used_s * 1000))
        for report in self._instance.end_reporters:
            report("loop_blocked")
        flush_destinations(LAST_FLUSH_S)


def make_loop(selector: TurnSelector) -> asyncio.AbstractEventLoop:
    """Return an event loop whose turns the selector measures."""
    return asyncio.SelectorEventLoop(selector)
