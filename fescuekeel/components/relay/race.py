"""Race several attempts that start one after the other."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from fescuekeel.helpers.http_connection import NotConnectedError

__all__ = ["first_success"]

T = TypeVar("T")


async def first_success(
    attempts: Sequence[Callable[[], Awaitable[T]]],
    stagger_s: float,
    on_error: Callable[[NotConnectedError], None],
    discard: Callable[[T], None],
) -> T | None:
    """Return the first result, ``None`` if all attempts fail.

    The next attempt starts ``stagger_s`` after the one before, or as soon as
    that one has failed. Results that come later are discarded.
    """
    tasks: set[asyncio.Future[T]] = set()
    waiting = list(attempts)
    try:
        while tasks or waiting:
            if waiting:
                tasks.add(asyncio.ensure_future(waiting.pop(0)()))
            timeout = stagger_s if waiting else None
            done, tasks = await asyncio.wait(
                tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
            succeeded = [task for task in done if task.exception() is None]
            for task in done - set(succeeded):
                error = task.exception()
                if not isinstance(error, NotConnectedError):
                    raise error or RuntimeError("an attempt ended without a result")
                on_error(error)
            for task in succeeded[1:]:
                discard(task.result())
            if succeeded:
                return succeeded[0].result()
        return None
    finally:
        for task in tasks:
            task.add_done_callback(lambda task: _discard_late(task, discard))


def _discard_late(task: asyncio.Future[T], discard: Callable[[T], None]) -> None:
    if not task.cancelled() and task.exception() is None:
        discard(task.result())
