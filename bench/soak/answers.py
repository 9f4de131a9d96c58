"""Endpoints that frame their answers in each way, and break them off."""

from collections.abc import Sequence
from random import Random

from bench.soak.plan import Fault
from standins.forwarding.answers import AnswerBreak, AnswerFraming, BreakPoint
from standins.forwarding.workers import Worker

__all__ = ["break_answers", "frame_answers"]

LINE_ENDS = (b"\n", b"\r\n", b"\r")
BREAKS_PER_FAULT = 4
MAX_EVENTS_BEFORE = 4


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
