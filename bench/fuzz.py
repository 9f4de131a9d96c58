"""Fuzz several instances with fresh seeds against the oracles."""

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

# Each machine, and how many examples of it make up one seed's run.
EXAMPLES_BY_MACHINE = {
    "tests.fuzz.test_requests:Fleet": 8,
    "tests.components.keys.test_fuzz:KeysMachine": 20,
    "tests.components.membership.test_fuzz:MembershipMachine": 8,
    "tests.components.owner.test_ownership:OwnershipMachine": 20,
    "tests.components.tree.test_follower_fuzz:Fleet": 20,
}
STEPS_PER_EXAMPLE = 50
DEFAULT_SECONDS = 60.0
# Hypothesis would shrink for five minutes.
engine.MAX_SHRINKING_SECONDS = 30


class Counted:
    """Count runs and steps of the machine that it is mixed into."""

    counts: ClassVar[Counter[str]] = Counter()

    def __init__(self) -> None:
        super().__init__()
        self.counts["runs"] += 1

    @invariant()
    def count_step(self) -> None:
        """Count one step."""
        self.counts["steps"] += 1


def _load(path: str) -> Any:
    module, name = path.split(":")
    machine = getattr(importlib.import_module(module), name)
    return type(name, (Counted, machine), {"__module__": module})


def _run_seed(machine: Any, examples: int, number: int) -> bool:
    """Run one seed; print its shrunken story and return false on a failure."""
    chosen = settings(
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
        run_state_machine_as_test(seed(number)(machine), settings=chosen)
    except Exception as error:
        print(f"violation machine={machine.__module__} seed={number}")
        print(f"{type(error).__name__}: {error}")
        _print_story(getattr(error, "__notes__", ()))
        return False
    return True


def _print_story(notes: Sequence[str]) -> None:
    lines = "\n".join(notes).splitlines()
    print("\n".join(line for line in lines if "count_step" not in line), flush=True)


def main(seconds: float = DEFAULT_SECONDS, first_seed: int = 0) -> int:
    """Fuzz for some time; 0 without violations.

    ``first_seed`` repeats a seed that was printed; the next ones are fresh.
    """
    machines_by_path = {path: _load(path) for path in EXAMPLES_BY_MACHINE}
    violations = 0
    until = time.monotonic() + seconds
    number = first_seed or secrets.randbits(32)
    while True:
        print(f"seed={number}", flush=True)
        for path, machine in machines_by_path.items():
            violations += not _run_seed(machine, EXAMPLES_BY_MACHINE[path], number)
        if time.monotonic() >= until:
            break
        number = secrets.randbits(32)
    for machine in machines_by_path.values():
        seen = sorted(getattr(machine, "totals", {}).items())
        if seen:
            print("seen " + " ".join(f"{name}={count}" for name, count in seen))
    counts = f"runs={Counted.counts['runs']} steps={Counted.counts['steps']}"
    print(f"fuzz {counts} violations={violations}")
    return 0 if violations == 0 else 1


if __name__ == "__main__":
    fire.Fire(lambda **options: sys.exit(main(**options)))
