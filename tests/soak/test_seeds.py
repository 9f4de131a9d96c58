"""Soak runs on real daemons: a short one, and seeds that failed before."""

import asyncio
from dataclasses import dataclass

import pytest

from bench.soak.command import run_seed
from bench.soak.plan import FAULTS_PER_S

SHORT_SECONDS = 5.0
SHORT_SEED = 1


@dataclass(frozen=True)
class FailedSeed:
    """Parameters of a run that failed before, and the cause."""

    seed: int
    seconds: float
    faults_per_s: float
    cause: str


FAILED_SEEDS = [
    FailedSeed(
        200,
        12.0,
        0.5,
        "a stream that started at the end of a short shutdown was truncated",
    ),
    FailedSeed(
        1581583379,
        12.0,
        FAULTS_PER_S,
        "SIGHUP terminated a daemon that was still starting",
    ),
    FailedSeed(
        1581583369,
        12.0,
        FAULTS_PER_S,
        "SIGHUP terminated a starting daemon; another became unresponsive",
    ),
    FailedSeed(
        1096561880,
        12.0,
        FAULTS_PER_S,
        "a daemon became unresponsive 0.1 s after its start; cause unknown",
    ),
    FailedSeed(
        127057552,
        12.0,
        FAULTS_PER_S,
        "the crash of an endpoint behind a proxy was not counted while calls to it"
        " were slow",
    ),
    FailedSeed(
        127057561,
        12.0,
        FAULTS_PER_S,
        "as for 127057552: a run of 52 ms was not counted",
    ),
    FailedSeed(
        50005,
        12.0,
        FAULTS_PER_S,
        "a crash of an endpoint behind a proxy was not counted",
    ),
]


class TestSoak:
    def test_short_run_has_no_violations(self, tmp_path):
        assert asyncio.run(run_seed(SHORT_SEED, SHORT_SECONDS, tmp_path)) == []

    @pytest.mark.parametrize("failed", FAILED_SEEDS, ids=lambda item: str(item.seed))
    def test_seed_that_failed_once(self, tmp_path, failed):
        work = run_seed(failed.seed, failed.seconds, tmp_path, failed.faults_per_s)
        assert asyncio.run(work) == [], failed.cause
