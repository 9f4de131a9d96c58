"""Run the stateful fuzz tests with random seeds."""

import importlib
import secrets
import sys
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any, ClassVar

import fire
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.internal.conjecture import engine
from hypothesis.stateful import invariant, run_state_machine_as_test

__all__ = ["main"]

# Number of examples per seed for each state machine.
EXAMPLES_BY_MACHINE = {
    "tests.fuzz.test_requests:Fleet": 8,
    "tests.components.endpoints.test_fuzz:EndpointsMachine": 20,
    "tests.components.keys.test_fuzz:KeysMachine": 20,
    "tests.components.membership.test_fuzz:MembershipMachine": 8,
    "tests.components.origins.test_fuzz:OriginsMachine": 20,
    "tests.components.owner.test_ownership:OwnershipMachine": 20,
    "tests.components.tree.test_follower_fuzz:Fleet": 20,
}
STEPS_PER_EXAMPLE = 50
DEFAULT_SECONDS = 60.0
# Hypothesis shrinks for up to five minutes by default.
engine.MAX_SHRINKING_SECONDS = 30


class CountingMixin:
    """Count the runs and steps of a state machine."""

    counts: ClassVar[Counter[str]] = Counter()

    def __init__(self) -> None:
        super().__init__()
        self.counts["runs"] += 1

    @invariant()
    def count_step(self) -> None:
        """Count a step after each rule."""
        self.counts["steps"] += 1


def _load_machine(path: str) -> Any:
    module, name = path.split(":")
    machine = getattr(importlib.import_module(module), name)
    return type(name, (CountingMixin, machine), {"__module__": module})


def _run_seed(machine: Any, examples: int, number: int) -> bool:
    """Run one seed; on a failure print the shrunk example, return false."""
    machine_settings = settings(
        max_examples=examples,
        stateful_step_count=STEPS_PER_EXAMPLE,
        deadline=None,
        database=None,
        derandomize=False,
        phases=[Phase.generate, Phase.shrink],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(seed(number)(machine), settings=machine_settings)
    except Exception as error:
        print(f"violation machine={machine.__module__} seed={number}")
        print(f"{type(error).__name__}: {error}")
        _print_falsifying_example(getattr(error, "__notes__", ()))
        return False
    return True


def _print_falsifying_example(notes: Sequence[str]) -> None:
    lines = "\n".join(notes).splitlines()
    print("\n".join(line for line in lines if "count_step" not in line), flush=True)


def main(seconds: float = DEFAULT_SECONDS, first_seed: int = 0) -> int:
    """Fuzz for some seconds; return 0 if there are no violations.

    ``first_seed`` repeats a printed seed; later seeds are random.
    """
    machines_by_path = {path: _load_machine(path) for path in EXAMPLES_BY_MACHINE}
    violations = 0
    ends_at = time.monotonic() + seconds
    number = first_seed or secrets.randbits(32)
    while True:
        print(f"seed={number}", flush=True)
        for path, machine in machines_by_path.items():
            violations += not _run_seed(machine, EXAMPLES_BY_MACHINE[path], number)
        if time.monotonic() >= ends_at:
            break
        number = secrets.randbits(32)
    for machine in machines_by_path.values():
        seen = sorted(getattr(machine, "totals", {}).items())
        if seen:
            print("seen " + " ".join(f"{name}={count}" for name, count in seen))
    counts = (
        f"runs={CountingMixin.counts['runs']} steps={CountingMixin.counts['steps']}"
    )
    print(f"fuzz {counts} violations={violations}")
    return 0 if violations == 0 else 1


if __name__ == "__main__":
    fire.Fire(lambda **options: sys.exit(main(**options)))
