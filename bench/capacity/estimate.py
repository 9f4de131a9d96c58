"""Estimate the cost of a node at the target fleet size."""

import math
from dataclasses import dataclass

from bench.capacity import const as target
from bench.capacity.decisions import get_news_bytes, get_wire_bytes, make_claim
from bench.capacity.measure import Measurements
from fescuekeel.components.keys.const import HOMES_PER_KEY, MAX_CLAIMS
from fescuekeel.components.livelist.const import MAX_LIST_BYTES, POLL_S
from fescuekeel.components.membership.const import (
    MAX_MEMBERS,
    MAX_NEWS,
    PROBE_PERIOD_S,
    PUSH_FANOUT,
    PUSH_PERIOD_S,
    RETRANSMIT_FACTOR,
)
from fescuekeel.components.owner.const import REPORT_PERIOD_S
from fescuekeel.components.peers.const import IDLE_S
from fescuekeel.components.tree.const import (
    POLLS_PER_S,
    WATCH_S,
    WATCHERS_PER_DATA_CENTRE,
)
from fescuekeel.components.turns.const import ASK_HOLD_S
from fescuekeel.errors import Ran
from fescuekeel.messages import (
    AdapterRef,
    Hello,
    HelloAnswer,
    KeyAnswer,
    KeySettle,
    TurnAnswer,
    TurnAsk,
    TurnDone,
)

__all__ = ["Loss", "Row", "list_calls", "list_losses", "list_rows"]

KEY_LIFETIME_S = 600.0
# TCP segments without payload to open and close a connection.
CONNECTION_PACKETS = 9
NONCES_BYTES = 2 * (16 + target.PACKET_BYTES)
REF = AdapterRef("adapter-of-shop-000001", "1")
TURN_ASK = TurnAsk("worker-0001", REF, 1.0, 1)
TURN_ANSWER = TurnAnswer("worker-0001", REF, granted=True)
TURN_DONE = TurnDone("worker-0001", REF, 500)
TOKENS_PER_REQUEST = target.TOKENS_PER_S / target.REQUESTS_PER_S
TOKEN_S = 0.031
LIST_CHANGES_PER_DAY = 2 * (target.FAILURES_PER_DAY + target.REPLACEMENTS_PER_DAY)


@dataclass(frozen=True, slots=True)
class Row:
    """Cost of one role of a node; ``control`` is false for the data path."""

    role: str
    state: str
    messages: str
    core: float
    mb: float
    bytes_per_s: float
    mechanism: str
    breaks: str
    control: bool = True
    soft_leader: bool = False


@dataclass(frozen=True, slots=True)
class Loss:
    """Cost of the loss of part of the fleet for each remaining node."""

    what: str
    nodes: int
    drain_s: float
    bytes_per_s: float
    core_s: float


def list_rows(measured: Measurements) -> list[Row]:
    """Return the roles, control plane first."""
    return [
        estimate_member(measured),
        estimate_live_list(measured),
        estimate_tree(measured),
        estimate_owner(measured),
        estimate_keys(measured),
        estimate_turns(measured),
        estimate_entry_data(measured),
        estimate_owner_data(measured),
    ]


def estimate_member(measured: Measurements) -> Row:
    """Estimate probes, membership updates and connections for probes."""
    per_s = 1 / PROBE_PERIOD_S
    quiet = 4 * per_s * measured.members.ping_bytes
    hello = Hello(1, "instance-0000", "centre-0", 1_700_000_000_000, "10.0.0.2:7400")
    answer = HelloAnswer("instance-0000", 1, "centre-0", "10.0.0.2:7400")
    opening = get_wire_bytes(hello) + get_wire_bytes(answer) + NONCES_BYTES
    opening += CONNECTION_PACKETS * target.PACKET_BYTES
    # Idle connections close between two probes of the same peer.
    quiet += 2 * per_s * opening
    limit = (
        target.BUDGET_CORE - measured.members.core.base
    ) / measured.members.core.slope
    core = (
        measured.members.core.value_at(target.NODES) + per_s * measured.wires.opening_s
    )
    open_peers = min(target.NODES, IDLE_S * per_s)
    mb = measured.members.kilobytes.value_at(target.NODES) / 1024
    return Row(
        "member",
        f"{target.NODES} records, {target.WORKERS} endpoints, connections to and from"
        f" {open_peers:.0f} peers",
        f"{4 * per_s:.0f} pings and answers a second of"
        f" {measured.members.ping_bytes} B;"
        f" {2 * per_s:.0f} connections opened a second",
        core,
        mb + open_peers * measured.fleet.mb_per_member,
        quiet,
        "a constant number of probes a second, news carried along (membership)",
        f"the bound of {MAX_MEMBERS} members; processor time only at {limit:,.0f}",
    )


def estimate_live_list(measured: Measurements) -> Row:
    """Estimate polls; only changed lists are sent and parsed."""
    changed_per_s = LIST_CHANGES_PER_DAY / target.DAY_S
    entries = target.NODES + target.WORKERS
    whole_per_s = measured.live.size / POLL_S
    return Row(
        "live list",
        f"the list of {entries:,} entries, {measured.live.size / 1000:.0f} KB as JSON",
        f"{1 / POLL_S:.0f} conditional poll a second; the whole list"
        f" {LIST_CHANGES_PER_DAY} times a day",
        changed_per_s * measured.live.parse_s,
        measured.live.size / target.MB,
        measured.wires.exchange_bytes / POLL_S + changed_per_s * measured.live.size,
        "conditional polls (livelist)",
        f"{MAX_LIST_BYTES * entries / measured.live.size:,.0f} entries, where the list"
        f" passes {MAX_LIST_BYTES // 1024} KB; a platform that ignores the"
        f" condition costs {whole_per_s / 1000:.0f} KB and"
        f" {measured.live.parse_s / POLL_S:.2%} of a core a second",
    )


def estimate_tree(measured: Measurements) -> Row:
    """Estimate the active tree and its changes."""
    largest = measured.trees[-1]
    changes_per_s = target.CHANGES_PER_DAY / target.DAY_S
    return Row(
        "tree follower",
        f"{target.ADAPTERS:,} adapters, {largest.published_bytes / target.MB:.1f} MB"
        " as published",
        f"{target.CHANGES_PER_DAY} changes a day, each a part of"
        f" {largest.packed_part_bytes / 1000:.0f} KB packed",
        changes_per_s * largest.change_s,
        measured.tree_mb.value_at(target.ADAPTERS),
        changes_per_s * 2 * largest.packed_part_bytes,
        "parts by hash, read once and passed on by peers (tree)",
        f"memory: {target.BUDGET_MB} MB at"
        f" {(target.BUDGET_MB - measured.tree_mb.base) / measured.tree_mb.slope:,.0f}"
        " adapters;"
        f" a change takes {largest.change_s:.2f} s of a thread, the whole tree"
        f" {largest.build_s:.1f} s",
    )


def estimate_owner(measured: Measurements) -> Row:
    """Estimate idle endpoints."""
    per_node = target.WORKERS_PER_NODE
    report_bytes = measured.wires.exchange_bytes + measured.wires.report_bytes
    per_endpoint = report_bytes / REPORT_PERIOD_S
    return Row(
        "owner",
        f"{per_node:.1f} endpoints: queue, lease, loaded adapters",
        f"{per_node / REPORT_PERIOD_S:.1f} reports a second of {report_bytes:,} B",
        per_node * measured.fleet.core_per_endpoint,
        per_node * measured.fleet.mb_per_endpoint,
        per_node * per_endpoint,
        "one owner by hashing in the endpoint's data centre (owner)",
        f"{target.BUDGET_CORE / measured.fleet.core_per_endpoint:.0f}"
        " endpoints an instance"
        " by processor time,"
        f" {target.BUDGET_BYTES_PER_S / per_endpoint:.1f}"
        " by bytes: each report opens a connection",
    )


def estimate_keys(measured: Measurements) -> Row:
    """Estimate the claims that a home stores."""
    claims_per_s = (
        target.REQUESTS_PER_S * target.KEYED_SHARE * HOMES_PER_KEY / target.NODES
    )
    held = claims_per_s * KEY_LIFETIME_S
    claim = make_claim(1)
    settle = KeySettle(claim.key, claim.request_id, Ran.YES.value)
    exchange = get_wire_bytes(claim, KeyAnswer(True), settle)
    limit = MAX_CLAIMS / KEY_LIFETIME_S * target.NODES / HOMES_PER_KEY
    return Row(
        "key home",
        f"{held:,.0f} claims of {measured.claim_bytes:.0f} B"
        f" ({target.KEYED_SHARE:.0%} of the requests keyed: our assumption)",
        f"{claims_per_s:.1f} claims and as many settlements a second",
        2 * claims_per_s * measured.claim_s,
        held * measured.claim_bytes / target.MB,
        2 * claims_per_s * exchange,
        f"{HOMES_PER_KEY} homes by hashing, a majority grants (keys)",
        f"{limit:,.0f} keyed requests a second in all, at {MAX_CLAIMS:,} claims a home",
    )


def get_loads_per_s() -> float:
    """Return the adapters per second that need a load at the target size."""
    return target.ADAPTERS * target.ACTIVATED_SHARE_PER_HOUR / 3600


def get_max_adapters(store_loads_per_s: float) -> float:
    """Return the number of adapters that a store of this rate can serve."""
    return target.ADAPTERS * store_loads_per_s / get_loads_per_s()


def estimate_turns(measured: Measurements) -> Row:
    """Estimate the leader of load turns; at worst all endpoints wait."""
    worst = target.WORKERS / ASK_HOLD_S
    loads = get_loads_per_s()
    asks = min(worst, 2 * loads)
    exchange = get_wire_bytes(TURN_ASK, TURN_ANSWER, TURN_DONE)
    core_worst = worst * measured.turn_s.value_at(target.WORKERS)
    return Row(
        "load turns (the leader)",
        f"an ask for each endpoint that waits, {target.WORKERS} at most",
        f"{loads:.1f} loads a second; {worst:,.0f} asks a second if all wait",
        asks * measured.turn_s.value_at(asks),
        target.WORKERS * 1000 / target.MB,
        asks * exchange,
        "a soft leader by hashing (turns)",
        f"one turn at a time: {get_max_adapters(2):,.0f} adapters with a store of 2"
        f" loads a second, {get_max_adapters(5):,.0f} with 5; if all endpoints wait,"
        f" {core_worst:.2f} of a core and {worst * exchange / 1000:.0f} KB/s",
        soft_leader=True,
    )


def estimate_entry_data(measured: Measurements) -> Row:
    """Estimate the requests of callers at the entry."""
    path = measured.path
    return _make_data_row(
        "entry (callers' work)",
        "{:.0f} open streams",
        Costs(path.entry_request_s, path.entry_token_s, path.entry_stream_kb),
        "one task a request; routing"
        f" {measured.route_s * 1e6:.0f} us of {path.entry_request_s * 1e3:.1f} ms",
    )


def estimate_owner_data(measured: Measurements) -> Row:
    """Estimate the requests of callers at the owner."""
    path = measured.path
    return _make_data_row(
        "owner (callers' work)",
        "{:.0f} open streams, a connection each",
        Costs(path.owner_request_s, path.owner_token_s, path.owner_stream_kb),
        "pieces of one loop turn go out as one message",
    )


@dataclass(frozen=True, slots=True)
class Costs:
    """Data path cost of one role."""

    request_s: float
    token_s: float
    stream_kb: float


def _make_data_row(role: str, state: str, costs: Costs, mechanism: str) -> Row:
    requests = target.REQUESTS_PER_S / target.NODES
    tokens = target.TOKENS_PER_S / target.NODES
    held = requests * TOKENS_PER_REQUEST * TOKEN_S
    return Row(
        role,
        state.format(held),
        f"{requests:.0f} requests and {tokens:,.0f} tokens a second",
        requests * costs.request_s + tokens * costs.token_s,
        held * costs.stream_kb / 1024,
        0.0,
        mechanism,
        f"{1 / (costs.token_s or 1):,.0f} tokens a second on one core",
        control=False,
    )


def list_losses(measured: Measurements) -> list[Loss]:
    """Return the cost of membership updates about lost nodes."""
    messages = 2 * 1 / PROBE_PERIOD_S + PUSH_FANOUT / PUSH_PERIOD_S
    retransmissions = RETRANSMIT_FACTOR * math.ceil(math.log2(target.NODES))
    per_s = messages * get_news_bytes(MAX_NEWS)
    losses = [
        ("a rack (12 nodes)", 12),
        ("a data centre", target.NODES_PER_CENTRE),
        ("a region", target.NODES // 2),
    ]
    return [
        Loss(
            what,
            nodes,
            2 * nodes * retransmissions / (MAX_NEWS * messages),
            per_s,
            2 * nodes * measured.view_s,
        )
        for what, nodes in losses
    ]


def list_calls() -> list[str]:
    """Return the request rates at the platform by fleet size."""
    lines = []
    for nodes, centres in ((24, 3), (target.NODES, target.DATA_CENTRES), (700, 14)):
        watches = centres * WATCHERS_PER_DATA_CENTRE / WATCH_S
        polls = centres * POLLS_PER_S
        lines.append(
            f"| {nodes} in {centres} | {watches:.1f} | {polls:.0f} |"
            f" {watches + polls:.1f} | {nodes / POLL_S:.0f} |"
            f" {get_loads_per_s() * nodes / target.NODES:.1f} |"
        )
    return lines
