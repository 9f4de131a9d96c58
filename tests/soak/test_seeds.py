"""Soak real daemons: one short run, and every seed that ever failed."""

import asyncio
from dataclasses import dataclass

import pytest

from bench.soak.command import play_seed
from bench.soak.plan import FAULTS_PER_S

SHORT_SECONDS = 5.0
SHORT_SEED = 1


@dataclass(frozen=True)
class FailedSeed:
    """A run that broke a promise once; ``cause`` says why it did."""

    seed: int
    seconds: float
    per_s: float
    cause: str


FAILED_SEEDS = [
    FailedSeed(
        200,
        12.0,
        0.5,
        "a stream that began in the last moment of a short shutdown was cut",
    ),
    FailedSeed(
        1581583379,
        12.0,
        FAULTS_PER_S,
        "a signal to read the settings again ended a daemon that was starting",
    ),
    FailedSeed(
        1581583369,
        12.0,
        FAULTS_PER_S,
        "a daemon that was starting ended by the same signal; another fell silent",
    ),
    FailedSeed(
        1096561880,
        12.0,
        FAULTS_PER_S,
        "a daemon fell silent a tenth of a second after its start; cause not known",
    ),
]


class TestSoak:
    def test_short_run_keeps_every_promise(self, tmp_path):
        assert asyncio.run(play_seed(SHORT_SEED, SHORT_SECONDS, tmp_path)) == []

    @pytest.mark.parametrize("failed", FAILED_SEEDS, ids=lambda item: str(item.seed))
    def test_seed_that_failed_once(self, tmp_path, failed):
        work = play_seed(failed.seed, failed.seconds, tmp_path, failed.per_s)
        assert asyncio.run(work) == [], failed.cause
