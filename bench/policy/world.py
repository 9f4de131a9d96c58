"""Endpoints, owners and members of a run."""

from dataclasses import dataclass, field

from bench.policy.fakes import FakeClock, FakeEngine
from bench.policy.policies import Policy, Scheduler
from bench.policy.traces import DATA_CENTRES, SLOTS, Deployment, Request
from fescuekeel.components.owner.scheduling import model
from fescuekeel.messages import AdapterRef, LiveEntry, LiveRole, Member, TurnAsk

__all__ = [
    "LINK_DELAY_S",
    "Attempt",
    "Host",
    "make_config",
    "make_hosts",
    "make_members",
]

LINK_DELAY_S = 0.0005
MEMBERS = 8


@dataclass(slots=True)
class Attempt:
    """A request in progress; ``tried`` are endpoints with a full queue."""

    request: Request
    endpoint: str = ""
    tried: set[str] = field(default_factory=set)
    moved: bool = False


@dataclass(slots=True)
class Host:
    """An endpoint and the scheduler of its owner."""

    engine: FakeEngine
    scheduler: Scheduler
    entry: LiveEntry
    ready: bool = True
    ended_by_owner: int = 0
    inherited_by_id: dict[str, AdapterRef] = field(default_factory=dict)
    loaded_at: dict[AdapterRef, float] = field(default_factory=dict)
    turn_ask: TurnAsk | None = None


def make_members() -> dict[str, Member]:
    """Return the instances, spread over the data centres."""
    members = [Member(f"i{n}", "", f"dc{n % DATA_CENTRES}", 1) for n in range(MEMBERS)]
    return {member.id: member for member in members}


def make_hosts(
    deployment: Deployment, policy: Policy, clock: FakeClock
) -> dict[str, Host]:
    """Return the endpoints of a deployment with new schedulers."""
    hosts = {}
    for number in range(deployment.workers):
        id, dc = f"e{number}", f"dc{number % DATA_CENTRES}"
        engine = FakeEngine(id, clock, deployment.step_s, deployment.max_running)
        entry = LiveEntry(id, LiveRole.ENDPOINT, "", dc, 1, pool="engines")
        hosts[id] = Host(engine, policy.make_scheduler(), entry)
    return hosts


def make_config(deployment: Deployment, ready: bool) -> model.Configured:
    """Return the pool settings as an event for the owner."""
    return model.Configured(
        slots=SLOTS,
        max_running=deployment.max_running,
        step_s=deployment.step_s,
        load_s=deployment.load_s,
        ready=ready,
    )
