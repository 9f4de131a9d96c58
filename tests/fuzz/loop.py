"""An event loop without sockets whose clock is the fake world's."""

import asyncio

__all__ = ["VirtualLoop"]


class NoSelector:
    """Have nothing to wait for."""

    def select(self, timeout):
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """Run the tasks of one process; a paused process is not turned."""

    def __init__(self, clock, skew_s=0.0):
        super().__init__()
        self._selector = NoSelector()
        self._clock = clock
        self.skew_s = skew_s

    def time(self):
        return self._clock()

    def time_ns(self):
        """Return the wall clock, which may be wrong."""
        return int((1_800_000_000 + self.time() + self.skew_s) * 1e9)

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    @property
    def next_time(self):
        """Return when there is something to do, ``inf`` for never."""
        if self._ready:
            return self.time()
        while self._scheduled and self._scheduled[0]._cancelled:
            # The loop itself forgets these, but only when it turns.
            self.turn()
            if self._ready:
                return self.time()
        return self._scheduled[0].when() if self._scheduled else float("inf")

    def turn(self):
        """Run what is due now, once."""
        self.call_soon(self.stop)
        self.run_forever()

    def run_due(self):
        """Run until nothing is due."""
        while self.next_time <= self.time():
            self.turn()

    def kill(self):
        """End all tasks."""
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            self.turn()
        self.close()
