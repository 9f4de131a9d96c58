"""Which load comes next on one endpoint and how long loads take."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.owner.scheduling.queue import Wait
from fescuekeel.messages import AdapterRef

__all__ = ["LoadPlan"]

URGENT_VALUE = 1_000_000.0
FAIR_VALUE = 2 * URGENT_VALUE
MOST_URGENT = 0
# What a request is worth before it has waited, in load times.
FRESH_LOADS = 20.0
# One load in this many goes to the request that has waited longest, if that
# is more than this many loads, so that urgent work cannot keep a rare adapter
# out for ever.
FAIR_EVERY = 16
OLD_LOADS = 20.0
SMOOTHING = 0.3
# The leader hears of a value that has grown by this factor.
NEWS_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class Ask:
    """A load that is wanted, and its value for the leader of turns."""

    adapter: AdapterRef
    value: float
    waiting: int


@dataclass(frozen=True, slots=True)
class Failures:
    """Count an adapter's failed loads in a row, and when to try again."""

    count: int
    retry_at: float


@dataclass(slots=True)
class LoadPlan:
    """Order the loads of one endpoint and follow the one under way.

    ``load_s`` is how long a load takes and ``cycle_s`` how much time passes
    between two loads here while the weight store serves others in between,
    ``urgent_cycle_s`` if they are urgent and go first there. All are in
    seconds and are measured as loads end.
    """

    load_s: float = 0.5
    cycle_s: float = 0.5
    urgent_cycle_s: float = 0.5
    asked: AdapterRef | None = None
    loading: AdapterRef | None = None
    _asked_value: float = 0.0
    _asked_at: float = 0.0
    _loads: int = 0
    _failures_by_adapter: dict[AdapterRef, Failures] = field(default_factory=dict)

    def set_load_time(self, load_s: float) -> None:
        """Start from the load time that the tree states."""
        self.load_s = load_s
        self.cycle_s = max(self.cycle_s, load_s)
        self.urgent_cycle_s = max(self.urgent_cycle_s, load_s)

    def get_value(self, wait: Wait, now: float) -> float:
        """Return what a load is worth: urgent first, then most time waited.

        Time waited, and not only the number that waits, keeps the tail of
        stalls short: a lone request gains on a crowd as it ages.

        >>> plan, ref = LoadPlan(), AdapterRef("cups", "1")
        >>> urgent = plan.get_value(Wait(ref, 0, 1, 0.0, 1.0, 0.0), 9.0)
        >>> urgent > plan.get_value(Wait(ref, 1, 50, 0.0, 25.0, 0.0), 9.0)
        True
        """
        value = wait.get_waited_s(now) + wait.weight * FRESH_LOADS * self.load_s
        return value + URGENT_VALUE if wait.urgency == MOST_URGENT else value

    def choose(self, waits: Iterable[Wait], now: float) -> Ask | None:
        """Return the load to ask for next.

        An old wait's turn must be granted before urgent ones elsewhere: an
        ask that waits at the leader holds up all other loads here.
        """
        open_waits = [wait for wait in waits if self._may_try(wait.adapter, now)]
        if not open_waits:
            return None
        oldest = min(open_waits, key=lambda wait: wait.oldest)
        is_old = now - oldest.oldest > OLD_LOADS * self.load_s
        if is_old and self._loads % FAIR_EVERY == FAIR_EVERY - 1:
            return Ask(oldest.adapter, FAIR_VALUE, oldest.count)
        best = max(open_waits, key=lambda wait: self._order(wait, now))
        return Ask(best.adapter, self.get_value(best, now), best.count)

    def _order(self, wait: Wait, now: float) -> tuple[float, float, AdapterRef]:
        return (self.get_value(wait, now), -wait.oldest, wait.adapter)

    def rank(self, waits: Iterable[Wait], now: float) -> list[Wait]:
        """Return the waits in the order of their loads, the next one first."""
        return sorted(waits, key=lambda wait: self._order(wait, now), reverse=True)

    def count_ahead(
        self, adapter: AdapterRef, waits: Iterable[Wait], now: float
    ) -> int:
        """Count the loads that come before this adapter's."""
        order = {wait.adapter: self._order(wait, now) for wait in waits}
        own = order.get(adapter)
        if own is None:
            return 0
        return sum(other > own for other in order.values())

    def estimate_s(self, ahead: int, urgency: int = MOST_URGENT + 1) -> float:
        """Estimate the seconds that the loads ahead of one take."""
        busy_s = self.load_s / 2 if self.loading is not None else 0.0
        is_urgent = urgency == MOST_URGENT
        return busy_s + ahead * (self.urgent_cycle_s if is_urgent else self.cycle_s)

    def ask(self, ask: Ask, now: float) -> bool:
        """Note the ask; return whether the leader must hear of it."""
        if self.asked == ask.adapter and ask.value < self._asked_value * NEWS_FACTOR:
            return False
        if self.asked != ask.adapter:
            self._asked_at = now
        self.asked = ask.adapter
        self._asked_value = ask.value
        return True

    def withdraw(self) -> None:
        """Forget the ask."""
        self.asked = None

    def begin(self, adapter: AdapterRef, now: float) -> None:
        """Note that a turn was granted and the load begins."""
        self.asked = None
        self.loading = adapter
        cycle_s = now - self._asked_at + self.load_s
        self.cycle_s += SMOOTHING * (cycle_s - self.cycle_s)
        if URGENT_VALUE <= self._asked_value < FAIR_VALUE:
            self.urgent_cycle_s += SMOOTHING * (cycle_s - self.urgent_cycle_s)

    def abort(self) -> None:
        """Note that the load could not be ordered."""
        self.loading = None

    def end(self, took_s: float, now: float) -> None:
        """Note that the load succeeded."""
        assert self.loading is not None
        self._failures_by_adapter.pop(self.loading, None)
        self.loading = None
        self._loads += 1
        self.load_s += SMOOTHING * (took_s - self.load_s)

    def fail(self, adapter: AdapterRef, now: float, retry_s: float) -> int:
        """Note a failed load; return how many failed in a row."""
        self.loading = None
        previous = self._failures_by_adapter.get(adapter)
        count = previous.count + 1 if previous else 1
        retry_at = now + retry_s * 2 ** (count - 1)
        self._failures_by_adapter[adapter] = Failures(count, retry_at)
        return count

    def forget_failures(self, adapter: AdapterRef) -> None:
        """Let the next request try anew."""
        self._failures_by_adapter.pop(adapter, None)

    def _may_try(self, adapter: AdapterRef, now: float) -> bool:
        failures = self._failures_by_adapter.get(adapter)
        return failures is None or now >= failures.retry_at
