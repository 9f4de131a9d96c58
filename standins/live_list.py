"""Stand-in for the platform's list of live and leaving instances."""

import time
from dataclasses import asdict, dataclass, replace
from typing import Any

from standins.server import ConnectionFaults, Server, StandInHandler

__all__ = ["Entry", "LiveListService", "start_live_list"]


@dataclass(frozen=True, slots=True)
class Entry:
    """A row of the list."""

    id: str
    role: str
    address: str
    data_centre: str
    incarnation: int = 1
    leaving: bool = False
    pool: str = ""


Snapshot = dict[str, Entry]


class LiveListService:
    """Serve the entries as of ``lag_s`` ago."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.connection_faults = ConnectionFaults()
        self.entries_by_id: Snapshot = {}
        self.calls = 0
        self._history: list[tuple[float, Snapshot]] = [(0.0, {})]

    def control(self, commands: dict[str, Any]) -> None:
        """Apply ``lag_s``, ``set`` (rows), ``leave`` and ``remove`` (ids)."""
        self.lag_s = float(commands.get("lag_s", self.lag_s))
        for row in commands.get("set", ()):
            self.set(Entry(**row))
        for id in commands.get("leave", ()):
            self.set(replace(self.entries_by_id[id], leaving=True))
        for id in commands.get("remove", ()):
            self.remove(id)

    def journal(self) -> dict[str, Any]:
        """Return the number of calls and the current entries."""
        entries = [asdict(entry) for entry in self.entries_by_id.values()]
        return {"calls": self.calls, "entries": entries}

    def set(self, entry: Entry) -> None:
        """Add or replace a row."""
        self._replace({**self.entries_by_id, entry.id: entry})

    def remove(self, id: str) -> None:
        """Remove a row."""
        self._replace({key: v for key, v in self.entries_by_id.items() if key != id})

    def list_visible(self) -> Snapshot:
        """Return the rows as of ``lag_s`` ago."""
        bound = time.monotonic() - self.lag_s
        for changed, entries_by_id in reversed(self._history):
            if changed <= bound:
                return entries_by_id
        return {}

    def _replace(self, entries_by_id: Snapshot) -> None:
        self.entries_by_id = entries_by_id
        self._history.append((time.monotonic(), entries_by_id))


class LiveHandler(StandInHandler):
    """Serve the list."""

    standin: LiveListService

    async def get(self) -> None:
        """Respond with the visible entries."""
        self.standin.calls += 1
        rows = [asdict(entry) for entry in self.standin.list_visible().values()]
        await self.respond(200, {"entries": rows})


async def start_live_list(lag_s: float = 0.0) -> tuple[LiveListService, Server]:
    """Start a live list on a free port."""
    service = LiveListService(lag_s)
    return service, Server(service, [("/v1/live", LiveHandler)])
