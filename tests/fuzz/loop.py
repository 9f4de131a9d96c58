"""An event loop without sockets that runs on a virtual clock."""

import asyncio

__all__ = ["VirtualLoop"]


class NoSelector:
    """Selector that never has events."""

    def select(self, timeout):
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop of one fake process; a paused process's loop is not run."""

    def __init__(self, clock, skew_s=0.0):
        super().__init__()
        self._selector = NoSelector()
        self._clock = clock
        self.skew_s = skew_s

    def time(self):
        return self._clock()

    def time_ns(self):
        """Return the wall-clock time, shifted by ``skew_s``."""
        return int((1_800_000_000 + self.time() + self.skew_s) * 1e9)

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    @property
    def next_time(self):
        """Return when the next callback is due; ``inf`` without one."""
        if self._ready:
            return self.time()
        while self._scheduled and self._scheduled[0]._cancelled:
            # The loop removes cancelled timers only when it runs.
            self.run_once()
            if self._ready:
                return self.time()
        return self._scheduled[0].when() if self._scheduled else float("inf")

    def run_once(self):
        """Run one iteration of the loop."""
        self.call_soon(self.stop)
        self.run_forever()

    def run_due(self):
        """Run until no callback is due."""
        while self.next_time <= self.time():
            self.run_once()

    def kill(self):
        """Cancel all tasks and close the loop."""
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            self.run_once()
        self.close()
