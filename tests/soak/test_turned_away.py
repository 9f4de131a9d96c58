"""Tests of the soak's check of a data centre that the store turns away."""

import asyncio

from bench.soak.turned_away import BOUND_S, measure_delay_s
from standins.fleet import free_addresses


class TestMeasureDelay:
    # Guards against a check that passes where a version is never in force.
    def test_a_version_that_is_never_in_force_is_late(self):
        (address,) = free_addresses(1)
        assert asyncio.run(measure_delay_s(address, 7)) > BOUND_S
