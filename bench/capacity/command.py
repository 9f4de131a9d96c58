"""Measure, print the tables and write them into the capacity page."""

import asyncio
import sys
from pathlib import Path

import fire

from bench.capacity import const as target
from bench.capacity.estimate import Row, list_calls, list_losses, list_rows
from bench.capacity.measure import Measurements, measure

__all__ = ["main"]

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
BEGIN = "<!-- capacity: written by script/bench capacity --write -->"
END = "<!-- capacity: end -->"


def format_goal(met: bool) -> str:
    """Return whether a goal is met, as text for the page."""
    return "met" if met else "**not met**"


def format_rows(rows: list[Row]) -> list[str]:
    """Return the table of roles."""
    lines = [
        "| role | state | messages | core | MB | B/s | mechanism | breaks first |",
        "|---|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {row.role} | {row.state} | {row.messages} | {row.core:.2%} |"
        f" {row.mb:.2f} | {row.bytes_per_s:,.0f} | {row.mechanism} | {row.breaks} |"
        for row in rows
    ]
    return lines


def format_budget(measured: Measurements, rows: list[Row]) -> list[str]:
    """Return the cost of the control plane beside its budget."""
    control = [row for row in rows if row.control]
    core = sum(row.core for row in control)
    idle_core = measured.fleet.core - 2 * measured.fleet.core_per_endpoint
    core += idle_core
    mb = sum(row.mb for row in control)
    bytes_per_s = sum(row.bytes_per_s for row in control)
    usual_bytes_per_s = sum(row.bytes_per_s for row in control if not row.soft_leader)
    steps = measured.memory_mb_by_step
    whole = steps["components"] + mb
    named = {"interpreter", "libraries", "components"}
    largest = sorted(steps.keys() - named, key=steps.__getitem__, reverse=True)[:4]
    names = ", ".join(f"{name} {steps[name]:.1f}" for name in largest)
    return [
        "| control of one node | worked out | may spend | |",
        "|---|---|---|---|",
        f"| processor time | {core:.2%} of a core | {target.BUDGET_CORE:.1%} |"
        f" {format_goal(core <= target.BUDGET_CORE)} |",
        f"| memory, state alone | {mb:.1f} MB | {target.BUDGET_MB} MB |"
        f" {format_goal(mb <= target.BUDGET_MB)} |",
        f"| memory, whole process | {whole:.1f} MB | {target.BUDGET_MB} MB |"
        f" {format_goal(whole <= target.BUDGET_MB)} |",
        f"| bytes a second, both ways | {usual_bytes_per_s:,.0f} |"
        f" {target.BUDGET_BYTES_PER_S:,} |"
        f" {format_goal(usual_bytes_per_s <= target.BUDGET_BYTES_PER_S)} |",
        f"| the same where load turns are led | {bytes_per_s:,.0f} |"
        f" {target.BUDGET_BYTES_PER_S:,} |"
        f" {format_goal(bytes_per_s <= target.BUDGET_BYTES_PER_S)} |",
        "",
        f"Memory by step: interpreter {steps['interpreter']:.1f} MB, with the"
        f" libraries {steps['libraries']:.1f} MB (most: {names}), with the system's own"
        f" code {steps['components']:.1f} MB; an idle daemon"
        f" {measured.fleet.mb:.1f} MB, and {measured.fleet.mb_per_member:.2f} MB a"
        " member while connections to all"
        " are open. The idle daemon's"
        f" {idle_core:.2%} of a core (timers and polls, without its two endpoints)"
        f" is counted in; in the measured fleet of up to 16 a member added"
        f" {measured.fleet.core_per_member:.3%}. The node is one that leads the load"
        " turns.",
    ]


def format_losses(measured: Measurements) -> list[str]:
    """Return the table of node losses."""
    lines = [
        "| lost | nodes | news passed on for | B/s meanwhile | core seconds of views |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {loss.what} | {loss.nodes} | {loss.drain_s:.0f} s |"
        f" {loss.bytes_per_s:,.0f} | {loss.core_s:.1f} |"
        for loss in list_losses(measured)
    ]
    return lines


def format_slopes(measured: Measurements) -> list[str]:
    """Return the list of measured costs."""
    members, fleet, path = measured.members, measured.fleet, measured.path
    lines = ["Slopes measured in this run:", ""]
    lines += [
        f"- tree: {cost.adapters:,} adapters take {cost.held_mb:.1f} MB held,"
        f" {cost.peak_mb:.1f} MB after a change, {cost.build_s:.2f} s to build,"
        f" {cost.change_s:.3f} s for a change of one part"
        for cost in measured.trees
    ]
    lines += [
        f"- membership: {members.core.base:.3%} of a core and"
        f" {members.core.slope * 100:.3%} each 100 members;"
        f" {members.kilobytes.slope:.2f} KB a member",
        f"- live list: {measured.live.size:,} B,"
        f" {measured.live.parse_s * 1e3:.1f} ms to parse",
        f"- routing a request over {target.WORKERS} endpoints and {target.NODES}"
        f" instances: {measured.route_s * 1e6:.0f} us, or"
        f" {measured.route_again_s * 1e6:.0f} us"
        " for an adapter seen a short time ago; owners after a changed view:"
        f" {measured.view_s * 1e3:.2f} ms",
        f"- a claim: {measured.claim_bytes:.0f} B, {measured.claim_s * 1e6:.1f} us",
        f"- an ask for a load turn: {measured.turn_s.base * 1e6:.1f} us and"
        f" {measured.turn_s.slope * 1e6:.2f} us for each that waits",
        f"- an owned idle endpoint: {fleet.core_per_endpoint:.3%} of a core,"
        f" {fleet.mb_per_endpoint:.2f} MB",
        f"- a connection between peers opened and closed:"
        f" {measured.wires.opening_s * 1e3:.2f} ms for both sides; an endpoint's report"
        f" {measured.wires.report_bytes:,} B and "
        f"{measured.wires.exchange_bytes:,} B around it",
        f"- a request: {path.entry_request_s * 1e3:.2f} ms at the entry and"
        f" {path.owner_request_s * 1e3:.2f} ms at the owner; a token"
        f" {path.entry_token_s * 1e6:.0f} and {path.owner_token_s * 1e6:.0f} us; an"
        f" open stream {path.entry_stream_kb:.0f} and {path.owner_stream_kb:.0f} KB",
    ]
    return lines


def format_page(measured: Measurements) -> list[str]:
    """Return the generated section of the page."""
    rows = list_rows(measured)
    calls = [
        "| nodes in data centres | watches/s | polls/s | configuration calls/s |"
        " live list polls/s | store loads/s |",
        "|---|---|---|---|---|---|",
        *list_calls(),
    ]
    sections = [
        format_rows(rows),
        format_budget(measured, rows),
        format_losses(measured),
        calls,
        format_slopes(measured),
    ]
    return [line for section in sections for line in [*section, ""]]


def write_page(lines: list[str]) -> None:
    """Replace the generated section of the page."""
    head, _, rest = PAGE.read_text("utf-8").partition(BEGIN)
    _, _, tail = rest.partition(END)
    block = "\n".join([BEGIN, "", *lines, END])
    PAGE.write_text(head + block + tail, "utf-8")


def start(write: bool = False) -> None:
    """Measure, print the tables and, with --write, update the page."""
    lines = format_page(asyncio.run(measure()))
    sys.stdout.write("\n".join(lines) + "\n")
    if write:
        write_page(lines)


def main(arguments: list[str]) -> int:
    """Parse the command line and run the measurement."""
    fire.Fire(start, command=arguments, name="capacity", serialize=lambda _: None)
    return 0
