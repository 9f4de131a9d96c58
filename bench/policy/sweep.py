"""Compare weights of stalls against batches."""

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from bench.policy.outcome import Result
from bench.policy.policies import ProjectPolicy
from bench.policy.simulation import simulate
from bench.policy.summary import summarize
from bench.policy.traces import DEPLOYMENTS, make_trace

__all__ = ["print_sweep"]

TRACES = ("below", "knee", "peak")
WEIGHTS = ((4.0, 1.0), (1.0, 1.0), (2.0, 3.0), (1.0, 4.0), (1.0, 19.0))


@dataclass(frozen=True, slots=True)
class SweepJob:
    """Parameters of one run with its weights."""

    deployment: str
    trace: str
    stall_weight: float
    batch_weight: float
    seed: int


def run_sweep_job(job: SweepJob) -> Result:
    """Simulate one trace with the weights of a job."""
    deployment = replace(
        DEPLOYMENTS[job.deployment],
        stall_weight=job.stall_weight,
        batch_weight=job.batch_weight,
    )
    return simulate(
        deployment, make_trace(deployment, job.trace, job.seed), ProjectPolicy()
    )


def print_sweep(deployments: Sequence[str], seeds: int, processes: int) -> None:
    """Print mean stalls and batch efficiency for each pair of weights."""
    jobs = [
        SweepJob(deployment, trace, *weights, seed)
        for deployment in deployments
        for trace in TRACES
        for weights in WEIGHTS
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(processes) as pool:
        results = dict(zip(jobs, pool.map(run_sweep_job, jobs), strict=True))
    print("\ndeployment     trace  stall:batch  stall mean    p99  batch  answer mean")
    for deployment in deployments:
        for trace in TRACES:
            for stall, batch in WEIGHTS:
                of_pair = [
                    results[SweepJob(deployment, trace, stall, batch, seed)]
                    for seed in range(1, seeds + 1)
                ]
                item = summarize(DEPLOYMENTS[deployment], of_pair)
                print(
                    f"{deployment:14} {trace:6} {stall:5.0f}:{batch:<5.0f}"
                    f"  {item.stalls.mean:10.3f} {item.stalls.p99:6.2f}"
                    f"  {item.batch:.4f}  {item.answer_s:11.2f}"
                )
