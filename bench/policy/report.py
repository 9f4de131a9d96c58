"""Run all policies on all traces and print the results."""

import argparse
import os
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from bench.policy.outcome import Result
from bench.policy.policies import Clairvoyant, FirstCome, Policy, ProjectPolicy
from bench.policy.previous import find_previous, load_revision
from bench.policy.simulation import simulate
from bench.policy.summary import Stalls, Summary, summarize
from bench.policy.sweep import print_sweep
from bench.policy.traces import DEPLOYMENTS, TRACES, Deployment, Trace, make_trace

__all__ = ["main"]

PROCESSES = 4
SEEDS = 2
LRU, RANDOM, PREVIOUS, OURS, CLAIRVOYANT = (
    "lru",
    "random",
    "previous",
    "ours",
    "clairvoyant",
)
POLICIES = (LRU, RANDOM, PREVIOUS, OURS, CLAIRVOYANT)
STEADY = ("below", "knee", "above", "triple")
PAST_KNEE = ("above", "triple")
FULL = ("above", "triple", "peak")
FIGURE = Path("docs/figures/policy.png")
BUILD_FIGURE = Path("build/policy.png")

Summaries = dict[str, dict[str, Summary]]


@dataclass(frozen=True, slots=True)
class Job:
    """Parameters of one run."""

    deployment: str
    trace: str
    policy: str
    seed: int
    previous: str


def make_policy(job: Job, deployment: Deployment, trace: Trace) -> Policy:
    """Return the policy of a job."""
    if job.policy == LRU:
        return FirstCome()
    if job.policy == RANDOM:
        return FirstCome(seed=job.seed)
    if job.policy == PREVIOUS:
        return ProjectPolicy(load_revision(job.previous))
    if job.policy == CLAIRVOYANT:
        return Clairvoyant(trace, deployment)
    return ProjectPolicy()


def run_job(job: Job) -> Result:
    """Simulate the trace of a job."""
    deployment = DEPLOYMENTS[job.deployment]
    trace = make_trace(deployment, job.trace, job.seed)
    return simulate(deployment, trace, make_policy(job, deployment, trace))


def main(arguments: Sequence[str]) -> int:
    """Run the simulations and print the results."""
    options = parse(arguments)
    if options.sweep:
        print_sweep(options.deployments, options.seeds, PROCESSES)
        return 0
    previous = options.previous or find_previous() or ""
    policies = [name for name in options.policies if name != PREVIOUS or previous]
    print(f"previous policy: {previous or 'none in this repository'}")
    if previous:
        load_revision(previous)
    jobs = [
        Job(deployment, trace, policy, seed, previous)
        for deployment in options.deployments
        for trace in options.traces
        for policy in policies
        for seed in range(1, options.seeds + 1)
    ]
    # Longest first, to balance the processes.
    jobs.sort(
        key=lambda job: (-TRACES[job.trace], -DEPLOYMENTS[job.deployment].workers)
    )
    with ProcessPoolExecutor(min(PROCESSES, os.cpu_count() or 1)) as pool:
        results = dict(zip(jobs, pool.map(run_job, jobs), strict=True))
    summaries_by_deployment = {
        name: summarize_traces(DEPLOYMENTS[name], options.traces, policies, results)
        for name in options.deployments
    }
    for name, summaries in summaries_by_deployment.items():
        print_table(DEPLOYMENTS[name], summaries)
    if set(options.traces) == set(TRACES) and set(policies) >= set(POLICIES) - {
        PREVIOUS
    }:
        plot(summaries_by_deployment, FIGURE if options.figure else BUILD_FIGURE)
        for name, summaries in summaries_by_deployment.items():
            print(format_penalized_line(name, summaries))
        for name, summaries in summaries_by_deployment.items():
            print(format_last_line(name, summaries))
    return 0


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="script/bench policy", description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument(
        "--sweep", action="store_true", help="sweep the weights and nothing else"
    )
    parser.add_argument("--previous", help="revision to compare with")
    parser.add_argument("--traces", nargs="+", default=list(TRACES), choices=TRACES)
    parser.add_argument("--policies", nargs="+", default=POLICIES, choices=POLICIES)
    parser.add_argument(
        "--deployments", nargs="+", default=list(DEPLOYMENTS), choices=DEPLOYMENTS
    )
    parser.add_argument(
        "--figure", action="store_true", help=f"write the plot to {FIGURE}"
    )
    return parser.parse_args(arguments)


def summarize_traces(
    deployment: Deployment,
    traces: Sequence[str],
    policies: Sequence[str],
    results: dict[Job, Result],
) -> Summaries:
    """Return the summaries of one deployment by trace and policy."""
    return {
        trace: {
            policy: summarize(
                deployment,
                [
                    result
                    for job, result in results.items()
                    if (job.deployment, job.trace, job.policy)
                    == (deployment.name, trace, policy)
                ],
            )
            for policy in policies
        }
        for trace in traces
    }


def print_table(deployment: Deployment, summaries: Summaries) -> None:
    """Print the results of one deployment."""
    print(
        f"\n{deployment.name}: {deployment.workers} workers, knee at "
        f"{deployment.knee_per_s:.1f} requests/s, a load takes {deployment.load_s} s"
    )
    print(
        "trace    policy       stall: mean    p50    p99 | urgent: mean    p50    p99"
        " | other: mean    p50    p99 | whole: mean    p99"
        " | in time  urgent  batch  loads  back | told: p50   p99  refused"
    )
    for trace, by_policy in summaries.items():
        for policy, item in by_policy.items():
            stalls = " |".join(
                f"        {value.mean:6.2f} {value.p50:6.2f} {value.p99:6.2f}"
                for value in (item.stalls, item.urgent, item.other)
            )
            rejected = " ".join(f"{kind}={n}" for kind, n in item.rejected.items())
            print(
                f"{trace:8} {policy:11} {stalls}"
                f" |       {item.penalized_stalls.mean:6.2f}"
                f" {item.penalized_stalls.p99:6.2f}"
                f" |   {item.in_time:.3f}   {item.urgent_in_time:.3f}"
                f"  {item.batch:.3f}  {item.loads:5}  {item.recovery_s:4.0f}"
                f" |     {item.rejection_times.p50:5.2f}"
                f" {item.rejection_times.p99:5.2f}  {rejected}"
            )


def divide(value: float, by: float) -> float:
    """Return the ratio, or 1.0 for a divisor of zero."""
    return value / by if by > 0 else 1.0


def compare_stalls(ours: Stalls, rival: Stalls) -> float:
    """Return the larger of the ratios of mean and p99."""
    return max(divide(ours.mean, rival.mean), divide(ours.p99, rival.p99))


def format_penalized_line(deployment: str, summaries: Summaries) -> str:
    """Return stall ratios, unanswered requests counted as full timeouts."""
    ours = summaries["knee"][OURS].penalized_stalls
    parts = [f"unanswered counted whole: deployment={deployment}"]
    for other in (LRU, CLAIRVOYANT):
        rival = summaries["knee"][other].penalized_stalls
        parts.append(f"mean_vs_{other}={divide(ours.mean, rival.mean):.3f}")
        parts.append(f"p99_vs_{other}={divide(ours.p99, rival.p99):.3f}")
    return " ".join(parts)


def format_last_line(deployment: str, summaries: Summaries) -> str:
    """Return the summary line of a deployment."""
    goodput = min(
        divide(summaries[name][OURS].in_time, summaries[name][CLAIRVOYANT].in_time)
        for name in PAST_KNEE
    )
    batch = min(
        divide(summaries[name][OURS].batch, summaries[name][CLAIRVOYANT].batch)
        for name in FULL
    )
    urgent = max(summaries[name][OURS].urgent.p99 for name in STEADY)
    knee = {policy: item.stalls for policy, item in summaries["knee"].items()}
    return (
        f"policy deployment={deployment}"
        f" stall_vs_lru={compare_stalls(knee[OURS], knee[LRU]):.3f}"
        f" stall_vs_clairvoyant={compare_stalls(knee[OURS], knee[CLAIRVOYANT]):.3f}"
        f" urgent_p99_s={urgent:.3f}"
        f" goodput_vs_clairvoyant={goodput:.3f}"
        f" batch_vs_clairvoyant={batch:.3f}"
    )


def plot(summaries_by_deployment: dict[str, Summaries], path: Path) -> None:
    """Plot mean stalls and in-time responses by trace and policy."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    rows = len(summaries_by_deployment)
    figure, axes = pyplot.subplots(rows, 2, figsize=(13, 4 * rows), squeeze=False)
    for row, (name, summaries) in enumerate(summaries_by_deployment.items()):
        policies = list(next(iter(summaries.values())))
        width = 0.8 / len(policies)
        for number, policy in enumerate(policies):
            places = [index + number * width for index in range(len(summaries))]
            items = [by_policy[policy] for by_policy in summaries.values()]
            axes[row][0].bar(
                places, [i.stalls.mean for i in items], width, label=policy
            )
            axes[row][1].bar(places, [i.in_time for i in items], width, label=policy)
        axes[row][0].set(title=f"{name}: mean load stall", ylabel="seconds")
        axes[row][0].set_yscale("log")
        axes[row][1].set(title=f"{name}: answered in time", ylabel="share")
        for axis in axes[row]:
            axis.set_xticks(range(len(summaries)), list(summaries), rotation=30)
    axes[0][0].legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=80)
