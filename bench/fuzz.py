"""Fuzz several instances with fresh seeds against the oracles."""

import importlib
import secrets
import sys
import time
from collections import Counter
from typing import Any

from hypothesis import HealthCheck, Phase, Verbosity, seed, settings
from hypothesis.stateful import run_state_machine_as_test

__all__ = ["main"]

# Modules of tests with a class that counts its runs and steps in ``totals``.
MACHINES = ("tests.fuzz.test_requests",)
EXAMPLES_PER_SEED = 10
STEPS_PER_EXAMPLE = 50
DEFAULT_SECONDS = 60.0


def _run_seed(machine: Any, number: int) -> bool:
    """Run one seed; print its shrunken story and return false on a failure."""
    chosen = settings(
        max_examples=EXAMPLES_PER_SEED,
        stateful_step_count=STEPS_PER_EXAMPLE,
        deadline=None,
        database=None,
        derandomize=False,
        phases=[Phase.generate, Phase.shrink],
        verbosity=Verbosity.normal,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(seed(number)(machine), settings=chosen)
    except Exception as error:
        print(f"violation machine={machine.__module__} seed={number}")
        print(f"{type(error).__name__}: {error}")
        print("\n".join(getattr(error, "__notes__", ())), flush=True)
        return False
    return True


def main(seconds: float = DEFAULT_SECONDS, first_seed: int = 0) -> int:
    """Fuzz for some time; 0 without violations.

    ``first_seed`` repeats a seed that was printed; the next ones are fresh.
    """
    machines = [importlib.import_module(name).Fleet for name in MACHINES]
    totals: Counter[str] = Counter()
    violations = 0
    until = time.monotonic() + seconds
    number = first_seed or secrets.randbits(32)
    while True:
        for machine in machines:
            print(f"seed={number} machine={machine.__module__}", flush=True)
            machine.totals = Counter()
            violations += not _run_seed(machine, number)
            totals += machine.totals
        if time.monotonic() >= until:
            break
        number = secrets.randbits(32)
    shown = " ".join(f"{name}={count}" for name, count in sorted(totals.items()))
    print(f"seen {shown}")
    counts = f"runs={totals['runs']} steps={totals['steps']}"
    print(f"fuzz {counts} violations={violations}")
    return 0 if violations == 0 else 1


if __name__ == "__main__":
    import fire

    sys.exit(fire.Fire(main, serialize=lambda _: ""))
