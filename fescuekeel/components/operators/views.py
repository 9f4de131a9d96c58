"""Views for operators as plain data, without secrets."""

from dataclasses import asdict
from typing import Any

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.gateway.routing import (
    put_unreachable_last,
    rank_endpoints,
)
from fescuekeel.components.operators.const import PERCENTILES
from fescuekeel.components.tree.model import Policy, TreeInForce
from fescuekeel.core import Instance, Metrics
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.owners import choose_owner
from fescuekeel.messages import (
    LiveList,
    MemberView,
    OwnedEndpoints,
    TreeStored,
)

__all__ = ["explain", "show_counters", "show_status", "show_tree"]

View = dict[str, Any]
US_PER_MS = 1000


def show_status(instance: Instance) -> View:
    """Return this instance, its member table and what it owns."""
    bus = instance.bus
    own = instance.settings.instance
    view = bus.latest(MemberView) or MemberView()
    held = bus.latest(TreeStored)
    owned = bus.latest(OwnedEndpoints)
    endpoints = {
        id: {
            "address": entry.address,
            "data_centre": entry.data_centre,
            "pool": entry.pool,
            "owner": choose_owner(entry, view.members_by_id.values()),
        }
        for id, entry in sorted(view.endpoints_by_id.items())
    }
    return {
        "instance": own.id,
        "data_centre": own.data_centre,
        "draining": instance.draining,
        "tree": asdict(held) if held else None,
        "members": [
            asdict(member) | {"unreachable": sorted(member.unreachable)}
            for _, member in sorted(view.members_by_id.items())
        ],
        "endpoints": endpoints,
        "without_work": _list_without_work(bus.latest(LiveList), view),
        "owned": asdict(owned) if owned else None,
    }


def _list_without_work(live: LiveList | None, view: MemberView) -> list[str]:
    """Return endpoints on the live list without work, as when leaving."""
    if live is None:
        return []
    return sorted(
        id
        for id, entry in live.entries_by_id.items()
        if entry.role == "endpoint" and id not in view.endpoints_by_id
    )


def show_counters(metrics: Metrics) -> View:
    """Return counters, and percentiles of durations in milliseconds."""
    histograms = {}
    for name, histogram in sorted(metrics.histograms_by_name.items()):
        values = {
            f"p{percentile:g}_ms": histogram.get_value_at_percentile(percentile)
            / US_PER_MS
            for percentile in PERCENTILES
        }
        histograms[name] = {"count": histogram.get_total_count(), **values}
    return {
        "counters": dict(sorted(metrics.counters_by_name.items())),
        "histograms": histograms,
    }


def _resolve(
    instance: Instance, shop: str, service: str, adapter: str, version: str
) -> Result[Policy, Failure]:
    in_force = instance.bus.latest(TreeInForce)
    if in_force is None:
        return Err(Failure(ErrorKind.TREE_NOT_READY))
    return in_force.intent.resolve(shop, service, adapter, version)


def show_tree(
    instance: Instance, shop: str, service: str, adapter: str, version: str
) -> Result[View, Failure]:
    """Return the revision in force, and the policy if a service is given."""
    in_force = instance.bus.latest(TreeInForce)
    if in_force is None:
        return Err(Failure(ErrorKind.TREE_NOT_READY))
    held = instance.bus.latest(TreeStored)
    view: View = {
        "revision": in_force.intent.revision,
        "digest": held.digest if held else "",
        "pools": {
            name: asdict(pool) for name, pool in in_force.intent.pools_by_name.items()
        },
    }
    if not service:
        return Success(view)
    resolved = _resolve(instance, shop, service, adapter, version)
    return resolved.map(lambda policy: {**view, "policy": asdict(policy)})


def explain(
    instance: Instance, shop: str, service: str, adapter: str, version: str
) -> Result[View, Failure]:
    """Return where a request would be routed, and why."""
    return _resolve(instance, shop, service, adapter, version).map(
        lambda policy: _explain_policy(instance, policy)
    )


def _explain_policy(instance: Instance, policy: Policy) -> View:
    view = instance.bus.latest(MemberView) or MemberView()
    endpoints = view.endpoints_by_id
    ranked = rank_endpoints(policy.pool.name, policy.adapter, endpoints)
    live = put_unreachable_last(ranked, endpoints, view.members_by_id)
    candidates = [
        {
            "endpoint": id,
            "data_centre": endpoints[id].data_centre,
            "owner": choose_owner(endpoints[id], view.members_by_id.values()),
        }
        for id in live
    ]
    return {
        "shop": policy.shop,
        "service": policy.service,
        "adapter": str(policy.adapter),
        "pool": policy.pool.name,
        "urgency": policy.urgency,
        "candidates": candidates,
        "why": _describe_choice(policy, candidates),
    }


def _describe_choice(policy: Policy, candidates: list[View]) -> str:
    if not candidates:
        return f"pool {policy.pool.name} has no endpoint that may get work"
    if not policy.adapter:
        return "a plain service: the less loaded of two that the request id picks"
    first = candidates[0]
    return (
        f"{first['endpoint']} is the adapter's home by rendezvous hashing and "
        f"{first['owner']} its owner; the next ones take copies while waiting "
        "at home costs more than a load"
    )
