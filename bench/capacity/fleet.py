"""Synthetic live lists and member views, without processes."""

import json

from bench.capacity.const import DATA_CENTRES, POOLS, WORKERS
from fescuekeel.messages import LiveEntry, LiveList, LiveRole, Member, MemberView

__all__ = ["format_live_list", "make_live_list", "make_view"]


def make_live_list(nodes: int, workers: int = WORKERS) -> LiveList:
    """Return a live list of instances and endpoints."""
    entries = [
        LiveEntry(
            id=f"instance-{number:04}",
            role=LiveRole.INSTANCE,
            address=f"10.{number % 7}.{number // 7}.2:7400",
            data_centre=f"centre-{number % DATA_CENTRES}",
            incarnation=1_700_000_000_000 + number,
        )
        for number in range(nodes)
    ]
    entries += [
        LiveEntry(
            id=f"worker-{number:04}",
            role=LiveRole.ENDPOINT,
            address=f"10.{number % 7}.{100 + number // 7}.3:8000",
            data_centre=f"centre-{number % DATA_CENTRES}",
            incarnation=1_700_000_000_000 + number,
            pool=f"base-{number % POOLS}",
        )
        for number in range(workers)
    ]
    return LiveList({entry.id: entry for entry in entries})


def format_live_list(live: LiveList) -> bytes:
    """Return the live list in the format of the platform."""
    rows = [
        {
            "id": entry.id,
            "role": entry.role.value,
            "address": entry.address,
            "data_centre": entry.data_centre,
            "incarnation": entry.incarnation,
            "leaving": entry.leaving,
            "pool": entry.pool,
        }
        for entry in live.entries_by_id.values()
    ]
    return json.dumps({"entries": rows}).encode()


def make_view(live: LiveList) -> MemberView:
    """Return a view in which all listed instances and endpoints are alive."""
    entries = live.entries_by_id.values()
    return MemberView(
        {
            entry.id: Member(
                entry.id, entry.address, entry.data_centre, entry.incarnation
            )
            for entry in entries
            if entry.role is LiveRole.INSTANCE
        },
        {entry.id: entry for entry in entries if entry.role is LiveRole.ENDPOINT},
    )
