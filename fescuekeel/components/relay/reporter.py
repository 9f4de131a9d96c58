"""Tell all instances which endpoints this one cannot reach."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from fescuekeel.components.gossip import (
    DOMAIN as GOSSIP_DOMAIN,
    Fact,
    Gossip,
    TopicLimits,
)
from fescuekeel.components.relay.const import (
    MAX_UNREACHABLE_FACTS,
    STABLE_S,
    UNREACHABLE_REFRESH_S,
    UNREACHABLE_TOPIC,
    UNREACHABLE_TTL_S,
)
from fescuekeel.components.relay.unreachable import Unreachable, UnreachableEndpoints
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event

__all__ = ["UnreachableReporter", "UnreachableState"]

MS_PER_S = 1000
NOTHING = Unreachable()


@dataclass(slots=True)
class UnreachableState:
    """What this instance cannot reach, and what it has announced; pure.

    >>> state = UnreachableState()
    >>> cut_off = Unreachable(is_all=True)
    >>> state.update(cut_off, now=1.0), state.update(cut_off, now=1.5)
    (False, True)
    >>> state.announced == cut_off, state.update(cut_off, now=1.6)
    (True, False)
    """

    announced: Unreachable = field(default=NOTHING)
    announced_at: float = float("-inf")
    seen: Unreachable = field(default=NOTHING)
    seen_at: float = float("-inf")

    def update(self, current: Unreachable, now: float) -> bool:
        """Return whether to announce the state now; it counts as announced."""
        if current != self.seen:
            self.seen, self.seen_at = current, now
        is_stable = now - self.seen_at >= STABLE_S
        is_old = current != NOTHING and now - self.announced_at > UNREACHABLE_REFRESH_S
        if not is_old and (current == self.announced or not is_stable):
            return False
        if not is_stable:
            return False
        self.announced, self.announced_at = current, now
        return True


class UnreachableReporter:
    """Publish this instance's state, and keep that of its peers."""

    def __init__(
        self, instance: Instance, on_changed: Callable[[], None] = lambda: None
    ) -> None:
        self.table = UnreachableEndpoints()
        self._on_changed = on_changed
        self._instance = instance
        self._state = UnreachableState()
        self._gossip = cast(Gossip, instance.components_by_domain[GOSSIP_DOMAIN])

    def start(self) -> None:
        """Register the topic."""
        self._gossip.register(
            UNREACHABLE_TOPIC,
            TopicLimits(UNREACHABLE_TTL_S, MAX_UNREACHABLE_FACTS),
            self._handle_fact,
        )

    def update(self, current: Unreachable) -> None:
        """Announce what this instance cannot reach, once that is stable."""
        if self._state.update(current, self._instance.now()):
            self._publish(current)

    def _publish(self, unreachable: Unreachable) -> None:
        own_id = self._instance.id
        rank = self._gossip.get_rank(UNREACHABLE_TOPIC, own_id) + 1
        self._gossip.publish(UNREACHABLE_TOPIC, own_id, rank, unreachable.format())

    def _handle_fact(self, fact: Fact) -> None:
        """Apply an announcement; correct one about this instance.

        A fact of an earlier start of this instance may still be known.
        """
        unreachable = Unreachable.parse(fact.payload)
        if (
            fact.key == self._instance.id
            and fact.payload != self._state.announced.format()
        ):
            self._publish(self._state.announced)
            return
        if not self.table.apply(fact.key, unreachable):
            return
        self._instance.metrics.count("relay.unreachable_changed")
        log_event(
            "unreachable_endpoints_changed",
            instance=fact.key,
            cut_off=unreachable.is_all,
            endpoints=len(unreachable.names),
            age_ms=round((self._instance.now() - fact.created_at) * MS_PER_S),
            outcome="in_force",
        )
        self._on_changed()
