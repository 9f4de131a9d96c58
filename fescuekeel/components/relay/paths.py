"""Decide how an endpoint is reached: directly, or through a peer; pure.

A failed connect does not show whether the endpoint is down or this instance is
cut off from it. The endpoint counts as down only if a peer that reaches other
endpoints cannot reach it either.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.components.relay.const import (
    DOWN_S,
    MAX_PROBE_S,
    MAX_PROBES_PER_TICK,
    MIN_PROBE_S,
    RECENT_CONTACT_S,
    RELAY_RETRY_S,
    WANTED_S,
)

__all__ = ["ConnectBy", "EndpointPath", "PathState", "PathTable"]

NEVER = float("-inf")


class PathState(StrEnum):
    """What is known of the path to an endpoint.

    ``FAILED``: a direct connect has failed, and no peer has answered yet.
    ``RELAYED``: a peer reaches the endpoint and this instance does not.
    ``DOWN``: no peer reaches it either.
    """

    DIRECT = "direct"
    FAILED = "failed"
    RELAYED = "relayed"
    DOWN = "down"


class ConnectBy(StrEnum):
    """How to connect now; ``NONE`` means not at all for the moment."""

    DIRECT = "direct"
    RELAY = "relay"
    NONE = "none"


@dataclass(slots=True)
class EndpointPath:
    """The path to one endpoint; times are seconds of the instance's clock."""

    state: PathState = PathState.DIRECT
    changed_at: float = NEVER
    contact_at: float = NEVER
    failed_at: float = NEVER
    relay_failed_at: float = NEVER
    wanted_at: float = NEVER
    probe_at: float = NEVER
    probe_s: float = MIN_PROBE_S

    def needs_probes(self, now: float) -> bool:
        """Return whether to look for the direct path in the background."""
        if self.state is PathState.RELAYED:
            return True
        return self.state is not PathState.DIRECT and now - self.wanted_at <= WANTED_S

    def change(self, state: PathState, now: float) -> bool:
        """Set the state; return whether it is another one."""
        if state is self.state:
            return False
        self.state = state
        self.changed_at = now
        return True


@dataclass(slots=True)
class PathTable:
    """The paths to all endpoints that this instance has tried to reach.

    Recording methods return whether the path's state has changed.

    >>> paths = PathTable()
    >>> paths.choose("e1", now=1.0).value
    'direct'
    >>> paths.record_failed("e1", now=1.1), paths.choose("e1", now=1.1).value
    (True, 'relay')
    >>> paths.record_relayed("e1", now=1.2), paths.get_state("e1").value
    (True, 'relayed')
    >>> paths.is_cut_off(now=1.3)
    True
    >>> paths.record_contact("e1", now=2.0), paths.choose("e1", now=2.0).value
    (True, 'direct')
    """

    paths_by_endpoint: dict[str, EndpointPath] = field(default_factory=dict)

    def get_state(self, endpoint: str) -> PathState:
        """Return the state of an endpoint's path."""
        path = self.paths_by_endpoint.get(endpoint)
        return PathState.DIRECT if path is None else path.state

    def get_failed_at(self, endpoint: str) -> float:
        """Return when a direct connect last failed, if it failed since."""
        path = self.paths_by_endpoint.get(endpoint)
        if path is None or path.state is PathState.DIRECT:
            return NEVER
        return path.failed_at

    def choose(self, endpoint: str, now: float) -> ConnectBy:
        """Return how to connect to an endpoint."""
        path = self._get(endpoint)
        path.wanted_at = now
        if path.state is PathState.DIRECT:
            return ConnectBy.DIRECT
        if path.state is PathState.DOWN and now - path.changed_at < DOWN_S:
            return ConnectBy.NONE
        if now - path.relay_failed_at < RELAY_RETRY_S:
            return ConnectBy.NONE
        return ConnectBy.RELAY

    def record_contact(self, endpoint: str, now: float) -> bool:
        """Record a direct connect that was established."""
        path = self._get(endpoint)
        path.contact_at = now
        path.probe_s = MIN_PROBE_S
        return path.change(PathState.DIRECT, now)

    def record_failed(self, endpoint: str, now: float) -> bool:
        """Record a direct connect that failed."""
        path = self._get(endpoint)
        path.failed_at = path.wanted_at = now
        path.probe_at = now + path.probe_s
        path.probe_s = min(MAX_PROBE_S, 2 * path.probe_s)
        if path.state is not PathState.DIRECT:
            return False
        return path.change(PathState.FAILED, now)

    def record_relayed(self, endpoint: str, now: float) -> bool:
        """Record that a peer reaches an endpoint."""
        path = self._get(endpoint)
        if path.state is PathState.DIRECT:
            return False
        return path.change(PathState.RELAYED, now)

    def record_unreachable(self, endpoint: str, now: float) -> bool:
        """Record that no peer could connect to an endpoint."""
        path = self._get(endpoint)
        if path.state is PathState.DIRECT:
            return False
        path.changed_at = now
        return path.change(PathState.DOWN, now)

    def record_relay_failed(self, endpoint: str, now: float) -> None:
        """Record that no peer has connected to an endpoint."""
        self._get(endpoint).relay_failed_at = now

    def is_cut_off(self, now: float) -> bool:
        """Return whether peers reach endpoints and this instance none."""
        relayed = False
        for path in self.paths_by_endpoint.values():
            relayed = relayed or path.state is PathState.RELAYED
            is_direct = path.state is PathState.DIRECT
            if is_direct and now - path.contact_at <= RECENT_CONTACT_S:
                return False
        return relayed

    def reaches_others(self, endpoint: str, now: float) -> bool:
        """Return whether there is direct contact with another endpoint."""
        return any(
            path.state is PathState.DIRECT and now - path.contact_at <= RECENT_CONTACT_S
            for id, path in self.paths_by_endpoint.items()
            if id != endpoint
        )

    def list_relayed(self) -> list[str]:
        """Return the endpoints that only peers reach."""
        return [
            id
            for id, path in self.paths_by_endpoint.items()
            if path.state is PathState.RELAYED
        ]

    def take_probes(self, now: float) -> list[str]:
        """Return the endpoints to probe now, the longest due first.

        Those that only peers reach are probed even without requests for them:
        the state is announced, and this instance claims none of them.
        """
        due = [
            (path.probe_at, id)
            for id, path in self.paths_by_endpoint.items()
            if path.probe_at <= now and path.needs_probes(now)
        ]
        taken = [id for _, id in sorted(due)[:MAX_PROBES_PER_TICK]]
        for id in taken:
            self.paths_by_endpoint[id].probe_at = now + MAX_PROBE_S
        return taken

    def retain(self, endpoints: Iterable[str]) -> None:
        """Forget all other endpoints."""
        for id in self.paths_by_endpoint.keys() - set(endpoints):
            del self.paths_by_endpoint[id]

    def _get(self, endpoint: str) -> EndpointPath:
        path = self.paths_by_endpoint.get(endpoint)
        if path is None:
            path = self.paths_by_endpoint[endpoint] = EndpointPath()
        return path
