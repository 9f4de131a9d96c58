"""Print what callers and endpoints see with each way, as a table."""

from itertools import product
from statistics import mean

import fire

from bench.backoff.simulation import (
    ENDPOINTS,
    TROUBLED,
    Knowledge,
    Play,
    Return,
    Trouble,
    simulate,
)

__all__ = ["main"]

# A quarter of what the two sound endpoints have room for.
REQUESTS_PER_S = 200.0
SEEDS = 10
FLEETS = (4, 70)


def compare(seeds: int = SEEDS, requests_per_s: float = REQUESTS_PER_S) -> None:
    """Print a line for each way, with means over seeds and the worst rush."""
    print("instances  trouble  troubled  knowledge  return  served  rejections  rush")
    for instances, trouble, troubled in product(FLEETS, Trouble, (TROUBLED, ENDPOINTS)):
        for knowledge, returning in product(Knowledge, Return):
            results = [
                simulate(
                    Play(
                        instances,
                        requests_per_s,
                        trouble,
                        knowledge,
                        returning,
                        troubled,
                        seed,
                    )
                )
                for seed in range(1, seeds + 1)
            ]
            served = mean(result.served_share for result in results)
            rejections = mean(result.rejections for result in results)
            rush = max(result.find_rush() for result in results)
            print(
                f"{instances:3}  {trouble.value:24} {troubled}  {knowledge.value:20}"
                f" {returning.value:16} {served:.3f} {rejections:6.0f} {rush:4}"
            )


def main(arguments: list[str]) -> int:
    """Parse the command line and compare the ways."""
    fire.Fire(compare, command=arguments, name="backoff")
    return 0
