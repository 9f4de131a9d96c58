"""Run one daemon as a process, and restart it as the platform does."""

import asyncio
import contextlib
import os
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGKILL, SIGTERM, Signals

from standins.forwarding.daemons import DaemonSpec, start_daemon
from standins.proxy import Proxy

__all__ = ["DaemonExit", "DaemonProcess", "ProcessLife", "find_total_loss"]

STOP_TIMEOUT_S = 10.0
RESTART_DELAY_S = 0.5
LAST_LINES = 12
CPU_SAMPLE_S = 0.5


@dataclass(frozen=True, slots=True)
class DaemonExit:
    """End of a daemon that nobody ended."""

    daemon: str
    status: int
    age_s: float
    last_lines: tuple[str, ...]

    def __str__(self) -> str:
        """Return what a report shows of it."""
        lines = "\n    ".join(self.last_lines)
        return (
            f"{self.daemon} ended with status {self.status}"
            f" after {self.age_s:.2f} s, last lines:\n    {lines}"
        )


@dataclass(slots=True)
class ProcessLife:
    """Start and end of one process in monotonic seconds."""

    started_at: float
    ended_at: float = float("inf")


def find_total_loss(lives: Iterable[ProcessLife], learning_s: float) -> float:
    """Return when last no process ran that knew the reports of others.

    A process knows that ``learning_s`` after its start.

    >>> old, new = ProcessLife(0.0, 9.0), ProcessLife(8.0)
    >>> find_total_loss([old, new], 3.0), find_total_loss([old, new], 0.5)
    (9.0, -inf)
    """
    known = list(lives)
    return max(
        (
            life.ended_at
            for life in known
            if life.ended_at < float("inf")
            and not any(
                other.started_at + learning_s <= life.ended_at < other.ended_at
                for other in known
            )
        ),
        default=float("-inf"),
    )


@dataclass(eq=False)
class DaemonProcess:
    """One daemon, with proxies before its peer port and the store.

    ``exits`` lists the ends that the daemon is responsible for, and
    ``early_signals`` counts those by a SIGHUP before its first statement.
    """

    spec: DaemonSpec
    folder: Path
    peers: Proxy
    store: Proxy
    process: asyncio.subprocess.Process | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    exits: list[DaemonExit] = field(default_factory=list)
    lives: list[ProcessLife] = field(default_factory=list)
    early_signals: int = 0
    _ending: asyncio.subprocess.Process | None = None
    _watch_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def _log(self) -> Path:
        return self.folder / f"{self.spec.id}.log"

    async def start(self) -> None:
        """Start the process, and watch it until it ends."""
        log_bytes = self._log.stat().st_size if self._log.exists() else 0
        self.process = await start_daemon(self.spec, self.folder)
        life = ProcessLife(time.monotonic())
        self.lives.append(life)
        task = asyncio.create_task(self._watch(self.process, life, log_bytes))
        self._watch_tasks.add(task)
        task.add_done_callback(self._watch_tasks.discard)

    def signal(self, number: Signals) -> None:
        """Send a signal to this process if it is running.

        ``Process.send_signal`` would collect the exit status of a process that
        has just ended, and its watcher would not get it.
        """
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def end(self, number: Signals) -> None:
        """End the process by a signal; kill it if it does not end in time."""
        self._ending = self.process
        self.signal(number)
        if self.process is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        if self.process.returncode is None:
            self.signal(SIGKILL)
            await self.process.wait()

    async def stop(self) -> None:
        """End the process for good, then the proxies."""
        self.signal(SIGCONT)
        await self.end(SIGTERM)
        for task in list(self._watch_tasks):
            task.cancel()
        await self.peers.stop()
        await self.store.stop()

    async def _watch(
        self, process: asyncio.subprocess.Process, life: ProcessLife, log_bytes: int
    ) -> None:
        """Record an end that was not ordered, and restart the daemon."""
        status = await process.wait()
        life.ended_at = time.monotonic()
        if process is self._ending:
            return
        has_written = self._log.stat().st_size > log_bytes
        if status == -SIGHUP and not has_written:
            self.early_signals += 1
        else:
            age_s = life.ended_at - life.started_at
            last_lines = self._read_last_lines()
            self.exits.append(DaemonExit(self.spec.id, status, age_s, last_lines))
        await asyncio.sleep(RESTART_DELAY_S)
        async with self.lock:
            if self.process is process and process is not self._ending:
                await self.start()

    async def describe(self) -> str:
        """Return whether the process has ended, sleeps or runs."""
        if self.process is None or self.process.returncode is not None:
            status = None if self.process is None else self.process.returncode
            state = f"ended with status {status}"
        else:
            state = await _describe_running(self.process.pid)
        lines = "\n    ".join(self._read_last_lines())
        return f"{self.spec.id} {state}, last lines:\n    {lines}"

    def _read_last_lines(self) -> tuple[str, ...]:
        lines = self._log.read_text("utf-8", "replace").splitlines()
        return tuple(lines[-LAST_LINES:])


async def _describe_running(pid: int) -> str:
    """Return a process's state letter and its use of the processor."""
    try:
        _, before = _read_stat(pid)
        await asyncio.sleep(CPU_SAMPLE_S)
        state, after = _read_stat(pid)
    except OSError:
        return "has just ended"
    return f"has state {state} and used {after - before} ticks in {CPU_SAMPLE_S} s"


def _read_stat(pid: int) -> tuple[str, int]:
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return fields[0], int(fields[11]) + int(fields[12])
