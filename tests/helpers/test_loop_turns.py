"""Tests of turns on the event loop."""

import asyncio

from fescuekeel.helpers.loop_turns import get_loop_turns


def run(work):
    asyncio.run(asyncio.wait_for(work(), 10))


class TestLoopTurns:
    # Guards against many endless answers at a time, each of which takes its
    # part of every iteration of the event loop.
    def test_one_of_many_works_in_an_iteration(self):
        async def work():
            turns_by_iteration = []

            async def take_turns():
                for _ in range(5):
                    await get_loop_turns().wait()
                    turns_by_iteration[-1] += 1

            tasks = [asyncio.ensure_future(take_turns()) for _ in range(20)]
            while not all(task.done() for task in tasks):
                turns_by_iteration.append(0)
                await asyncio.sleep(0)
            assert sum(turns_by_iteration) == 100
            assert max(turns_by_iteration) == 1

        run(work)

    # Guards against one that waits for ever behind others that come again.
    def test_turns_are_granted_in_order_of_arrival(self):
        async def work():
            order = []

            async def take_turns(name):
                for _ in range(3):
                    await get_loop_turns().wait()
                    order.append(name)

            await asyncio.gather(*(take_turns(name) for name in "abc"))
            assert "".join(order) == "abcabcabc"

        run(work)

    # Guards against a turn that is granted to a request that has ended, after
    # which nobody is granted one.
    def test_one_that_is_cancelled_is_passed_over(self):
        async def work():
            turns = get_loop_turns()
            first = asyncio.ensure_future(turns.wait())
            second = asyncio.ensure_future(turns.wait())
            await asyncio.sleep(0)
            first.cancel()
            await asyncio.wait_for(second, 1.0)
            await asyncio.wait_for(turns.wait(), 1.0)

        run(work)
