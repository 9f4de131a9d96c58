"""Work out what a node spends at the letter's size."""

import math
from dataclasses import dataclass

from bench.capacity import const as size
from bench.capacity.decisions import make_claim, news_bytes, wire_bytes
from bench.capacity.measure import Measured
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
# Opening and closing a connection: segments without content, both ways.
CONNECTION_PACKETS = 9
NONCES_BYTES = 2 * (16 + size.PACKET_BYTES)
REF = AdapterRef("adapter-of-shop-000001", "1")
TURN_ASK = TurnAsk("worker-0001", REF, 1.0, 1)
TURN_ANSWER = TurnAnswer("worker-0001", REF, granted=True)
TURN_DONE = TurnDone("worker-0001", REF, 500)
TOKENS_PER_REQUEST = size.TOKENS_PER_S / size.REQUESTS_PER_S
TOKEN_S = 0.031
LIST_CHANGES_PER_DAY = 2 * (size.FAILURES_PER_DAY + size.REPLACED_PER_DAY)


@dataclass(frozen=True, slots=True)
class Row:
    """What one role costs a node; ``control`` is false for callers' work."""

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
    """What the loss of part of the fleet costs each node that is left."""

    what: str
    nodes: int
    drain_s: float
    bytes_per_s: float
    core_s: float


def list_rows(found: Measured) -> list[Row]:
    """Return the roles, control first."""
    return [
        make_member(found),
        make_live_list(found),
        make_tree(found),
        make_owner(found),
        make_keys(found),
        make_turns(found),
        make_entry_data(found),
        make_owner_data(found),
    ]


def make_member(found: Measured) -> Row:
    """Work out probes, news and the connections that probes open."""
    per_s = 1 / PROBE_PERIOD_S
    quiet = 4 * per_s * found.members.ping_bytes
    hello = Hello(1, "instance-0000", "centre-0", 1_700_000_000_000, "10.0.0.2:7400")
    answer = HelloAnswer("instance-0000", 1, "centre-0", "10.0.0.2:7400")
    opening = wire_bytes(hello) + wire_bytes(answer) + NONCES_BYTES
    opening += CONNECTION_PACKETS * size.PACKET_BYTES
    # At this size a peer is probed less often than idle connections last.
    quiet += 2 * per_s * opening
    most = (size.BUDGET_CORE - found.members.core.base) / found.members.core.slope
    core = found.members.core.at(size.NODES) + per_s * found.wires.opening_s
    open_peers = min(size.NODES, IDLE_S * per_s)
    mb = found.members.kilobytes.at(size.NODES) / 1024
    return Row(
        "member",
        f"{size.NODES} records, {size.WORKERS} endpoints, connections to and from"
        f" {open_peers:.0f} peers",
        f"{4 * per_s:.0f} pings and answers a second of {found.members.ping_bytes} B;"
        f" {2 * per_s:.0f} connections opened a second",
        core,
        mb + open_peers * found.fleet.mb_per_member,
        quiet,
        "a constant number of probes a second, news carried along (membership)",
        f"the bound of {MAX_MEMBERS} members; processor time only at {most:,.0f}",
    )


def make_live_list(found: Measured) -> Row:
    """Work out polls, of which only changed lists are sent and parsed."""
    changed_per_s = LIST_CHANGES_PER_DAY / size.DAY_S
    entries = size.NODES + size.WORKERS
    whole_per_s = found.live.size / POLL_S
    return Row(
        "live list",
        f"the list of {entries:,} entries, {found.live.size / 1000:.0f} KB as JSON",
        f"{1 / POLL_S:.0f} conditional poll a second; the whole list"
        f" {LIST_CHANGES_PER_DAY} times a day",
        changed_per_s * found.live.parse_s,
        found.live.size / size.MB,
        found.wires.exchange_bytes / POLL_S + changed_per_s * found.live.size,
        "conditional polls (livelist)",
        f"{MAX_LIST_BYTES * entries / found.live.size:,.0f} entries, where the list"
        f" passes {MAX_LIST_BYTES // 1024} KB; a platform that ignores the"
        f" condition costs {whole_per_s / 1000:.0f} KB and"
        f" {found.live.parse_s / POLL_S:.2%} of a core a second",
    )


def make_tree(found: Measured) -> Row:
    """Work out the tree in force and its changes."""
    largest = found.trees[-1]
    changes_per_s = size.CHANGES_PER_DAY / size.DAY_S
    return Row(
        "tree follower",
        f"{size.ADAPTERS:,} adapters, {largest.published_bytes / size.MB:.1f} MB"
        " as published",
        f"{size.CHANGES_PER_DAY} changes a day, each a part of"
        f" {largest.packed_part_bytes / 1000:.0f} KB packed",
        changes_per_s * largest.change_s,
        found.tree_mb.at(size.ADAPTERS),
        changes_per_s * 2 * largest.packed_part_bytes,
        "parts by hash, read once and passed on by peers (tree)",
        f"memory: {size.BUDGET_MB} MB at"
        f" {(size.BUDGET_MB - found.tree_mb.base) / found.tree_mb.slope:,.0f} adapters;"
        f" a change takes {largest.change_s:.2f} s of a thread, the whole tree"
        f" {largest.build_s:.1f} s",
    )


def make_owner(found: Measured) -> Row:
    """Work out endpoints that nothing is asked of."""
    per_node = size.WORKERS_PER_NODE
    report_bytes = found.wires.exchange_bytes + found.wires.report_bytes
    per_endpoint = report_bytes / REPORT_PERIOD_S
    return Row(
        "owner",
        f"{per_node:.1f} endpoints: queue, lease, loaded adapters",
        f"{per_node / REPORT_PERIOD_S:.1f} reports a second of {report_bytes:,} B",
        per_node * found.fleet.core_per_endpoint,
        per_node * found.fleet.mb_per_endpoint,
        per_node * per_endpoint,
        "one owner by hashing in the endpoint's data centre (owner)",
        f"{size.BUDGET_CORE / found.fleet.core_per_endpoint:.0f} endpoints an instance"
        " by processor time,"
        f" {size.BUDGET_BYTES_PER_S / per_endpoint:.1f}"
        " by bytes: each report opens a connection",
    )


def make_keys(found: Measured) -> Row:
    """Work out the claims that a home holds."""
    claims_per_s = size.REQUESTS_PER_S * size.KEYED_SHARE * HOMES_PER_KEY / size.NODES
    held = claims_per_s * KEY_LIFETIME_S
    claim = make_claim(1)
    settle = KeySettle(claim.key, claim.request_id, Ran.YES.value)
    exchange = wire_bytes(claim, KeyAnswer(True), settle)
    most = MAX_CLAIMS / KEY_LIFETIME_S * size.NODES / HOMES_PER_KEY
    return Row(
        "key home",
        f"{held:,.0f} claims of {found.claim_bytes:.0f} B"
        f" ({size.KEYED_SHARE:.0%} of the requests keyed: our assumption)",
        f"{claims_per_s:.1f} claims and as many settlements a second",
        2 * claims_per_s * found.claim_s,
        held * found.claim_bytes / size.MB,
        2 * claims_per_s * exchange,
        f"{HOMES_PER_KEY} homes by hashing, a majority grants (keys)",
        f"{most:,.0f} keyed requests a second in all, at {MAX_CLAIMS:,} claims a home",
    )


def loads_per_s() -> float:
    """Return how many adapters wake in a second, if all that change wake."""
    return size.ADAPTERS * size.WAKING_SHARE_PER_HOUR / 3600


def adapters_at(store_loads_per_s: float) -> float:
    """Return how many adapters may wake as often as ours with such a store."""
    return size.ADAPTERS * store_loads_per_s / loads_per_s()


def make_turns(found: Measured) -> Row:
    """Work out the leader when every endpoint waits for a turn."""
    worst = size.WORKERS / ASK_HOLD_S
    loads = loads_per_s()
    asks = min(worst, 2 * loads)
    exchange = wire_bytes(TURN_ASK, TURN_ANSWER, TURN_DONE)
    core_worst = worst * found.turn_s.at(size.WORKERS)
    return Row(
        "load turns (the leader)",
        f"an ask for each endpoint that waits, {size.WORKERS} at most",
        f"{loads:.1f} loads a second; {worst:,.0f} asks a second if all wait",
        asks * found.turn_s.at(asks),
        size.WORKERS * 1000 / size.MB,
        asks * exchange,
        "a soft leader by hashing (turns)",
        f"one turn at a time: {adapters_at(2):,.0f} adapters with a store of 2 loads"
        f" a second, {adapters_at(5):,.0f} with 5; if all endpoints wait,"
        f" {core_worst:.2f} of a core and {worst * exchange / 1000:.0f} KB/s",
        soft_leader=True,
    )


def make_entry_data(found: Measured) -> Row:
    """Work out the callers' requests at their entry."""
    path = found.path
    return _make_data_row(
        "entry (callers' work)",
        "{:.0f} open streams",
        Costs(path.entry_request_s, path.entry_token_s, path.entry_stream_kb),
        "one task a request; routing"
        f" {found.route_s * 1e6:.0f} us of {path.entry_request_s * 1e3:.1f} ms",
    )


def make_owner_data(found: Measured) -> Row:
    """Work out the callers' requests at the owner."""
    path = found.path
    return _make_data_row(
        "owner (callers' work)",
        "{:.0f} open streams, a connection each",
        Costs(path.owner_request_s, path.owner_token_s, path.owner_stream_kb),
        "pieces of one loop turn go out as one message",
    )


@dataclass(frozen=True, slots=True)
class Costs:
    """What callers' work costs one role."""

    request_s: float
    token_s: float
    stream_kb: float


def _make_data_row(role: str, state: str, costs: Costs, mechanism: str) -> Row:
    requests = size.REQUESTS_PER_S / size.NODES
    tokens = size.TOKENS_PER_S / size.NODES
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


def list_losses(found: Measured) -> list[Loss]:
    """Return what the news of lost nodes costs each that is left."""
    messages = 2 * 1 / PROBE_PERIOD_S + PUSH_FANOUT / PUSH_PERIOD_S
    told = RETRANSMIT_FACTOR * math.ceil(math.log2(size.NODES))
    per_s = messages * news_bytes(MAX_NEWS)
    losses = [
        ("a rack (12 nodes)", 12),
        ("a data centre", size.NODES_PER_CENTRE),
        ("a region", size.NODES // 2),
    ]
    return [
        Loss(
            what,
            nodes,
            2 * nodes * told / (MAX_NEWS * messages),
            per_s,
            2 * nodes * found.view_s,
        )
        for what, nodes in losses
    ]


def list_calls() -> list[str]:
    """Return the rates at the platform's services by the fleet's size."""
    lines = []
    for nodes, centres in ((24, 3), (size.NODES, size.DATA_CENTRES), (700, 14)):
        watches = centres * WATCHERS_PER_DATA_CENTRE / WATCH_S
        polls = centres * POLLS_PER_S
        lines.append(
            f"| {nodes} in {centres} | {watches:.1f} | {polls:.0f} |"
            f" {watches + polls:.1f} | {nodes / POLL_S:.0f} |"
            f" {loads_per_s() * nodes / size.NODES:.1f} |"
        )
    return lines
