"""Tests of attempts that start one after the other."""

import asyncio

from fescuekeel.components.relay.race import first_success
from fescuekeel.helpers.http_connection import NotConnectedError


def make_attempt(seconds, result, started):
    async def attempt():
        started.append(result)
        await asyncio.sleep(seconds)
        if result is None:
            raise NotConnectedError("no")
        return result

    return attempt


def race(*attempts, stagger_s=0.05):
    """Return the result, the started ones, the discarded ones and errors."""
    started, discarded, errors = [], [], []

    async def work():
        result = await first_success(
            [make_attempt(seconds, result, started) for seconds, result in attempts],
            stagger_s,
            errors.append,
            discarded.append,
        )
        await asyncio.sleep(0.3)
        return result

    return asyncio.run(work()), started, discarded, errors


class TestFirstSuccess:
    def test_a_fast_first_attempt_starts_no_other(self):
        assert race((0.0, "a"), (0.0, "b")) == ("a", ["a"], [], [])

    def test_a_slow_one_is_overtaken_and_its_result_discarded(self):
        result, started, discarded, _ = race((0.2, "a"), (0.0, "b"))
        assert (result, started, discarded) == ("b", ["a", "b"], ["a"])

    def test_a_failure_starts_the_next_at_once(self):
        result, _, _, errors = race((0.0, None), (0.0, "b"), stagger_s=60.0)
        assert result == "b"
        assert len(errors) == 1

    def test_without_a_success_all_errors_are_reported(self):
        result, _, _, errors = race((0.0, None), (0.0, None))
        assert result is None
        assert len(errors) == 2

    def test_without_attempts_there_is_no_result(self):
        assert race()[0] is None
