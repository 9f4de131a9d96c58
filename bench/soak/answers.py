"""Endpoints that frame, break off or repeat their answers in each way."""

import asyncio
from collections.abc import Sequence
from random import Random

from bench.soak.plan import Fault
from standins.forwarding.answers import AnswerBreak, AnswerFraming, BreakPoint
from standins.forwarding.copies import AnswerCopies, CopyMoment
from standins.forwarding.workers import Worker
from standins.proxy import AnswerCut, Proxy

__all__ = ["break_answers", "copy_answers", "frame_answers", "stop_heads"]

LINE_ENDS = (b"\n", b"\r\n", b"\r")
BREAKS_PER_FAULT = 4
MAX_EVENTS_BEFORE = 4
COPIED_SHARE = 0.3
REJECTIONS_PER_FAULT = 6
COPIED_STATUSES = (frozenset({421, 503}), frozenset({200}), frozenset[int]())
# Within an answer a copy would be a part of its body.
COPY_MOMENTS = (CopyMoment.BEFORE_NEXT, CopyMoment.AFTER_NEXT)
HEADS_PER_FAULT = 4
MAX_HEAD_BYTES = 120


def frame_answers(worker: Worker, fault: Fault) -> None:
    """Let a worker frame its answers in another way from now on."""
    random = Random(f"{fault.starts_at} framing")
    worker.framing = random.choice(list(AnswerFraming))
    worker.line_end = random.choice(LINE_ENDS)


def break_answers(workers: Sequence[Worker], fault: Fault) -> None:
    """Let the next answers of each worker break off so that it can be seen."""
    random = Random(f"{fault.starts_at} breaks")
    for worker in workers:
        for _ in range(BREAKS_PER_FAULT):
            worker.breaks.append(_draw_break(worker, random))


def _draw_break(worker: Worker, random: Random) -> AnswerBreak:
    point = random.choice(list(BreakPoint))
    # Between two events only a reset shows the break, and the worker may be
    # framed anew before it comes to this one.
    by_reset = not worker.model or point is BreakPoint.BETWEEN_EVENTS
    by_reset = by_reset or random.random() < 0.5
    return AnswerBreak(point, by_reset, random.randint(0, MAX_EVENTS_BEFORE))


async def copy_answers(worker: Worker, fault: Fault) -> None:
    """Let a worker reject some requests, and send answers once more, late."""
    random = Random(f"{fault.starts_at} copies")
    copies = worker.copies = AnswerCopies(
        COPIED_SHARE,
        random.choice(COPIED_STATUSES),
        random.choice(COPY_MOMENTS),
        with_id=random.random() < 0.5,
        number=random.randint(1, 2),
        random=random,
    )
    worker.shed += REJECTIONS_PER_FAULT
    await asyncio.sleep(fault.duration_s)
    copies.share = 0.0


def stop_heads(proxy: Proxy, fault: Fault) -> None:
    """Let the next answers behind a proxy stop within their heads.

    By a reset, as nobody could see the orderly end of a stream that has
    neither a length nor chunks.
    """
    random = Random(f"{fault.starts_at} heads")
    for _ in range(HEADS_PER_FAULT):
        bytes_passed = random.randint(0, MAX_HEAD_BYTES)
        proxy.answer_cuts.append(AnswerCut(bytes_passed, by_reset=True))
