"""Count the homes' answers to one claim; pure."""

from fescuekeel.components.keys.const import TIE_RETRY_S
from fescuekeel.components.keys.homes import count_majority
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.messages import KeyAnswer

__all__ = ["QuorumCounter"]

# Which of several refusals is returned: the first in this order.
REFUSAL_PRECEDENCE = (
    ErrorKind.KEY_USED,
    ErrorKind.KEY_MISMATCH,
    ErrorKind.KEY_IN_PROGRESS,
)


class QuorumCounter:
    """Count answers until the claim is won or can no longer be won.

    >>> counter = QuorumCounter(3)
    >>> counter.add(KeyAnswer(True)), counter.won
    (False, False)
    >>> counter.add(KeyAnswer(True)), counter.won
    (True, True)
    """

    def __init__(self, homes: int) -> None:
        self._needed = count_majority(homes)
        self._outstanding = homes
        self._grants = 0
        self._kinds: set[str] = set()

    @property
    def won(self) -> bool:
        """Return whether a majority has granted the claim."""
        return self._grants >= self._needed

    def add(self, answer: KeyAnswer | None) -> bool:
        """Count an answer, or none in time; return whether that decides it."""
        self._outstanding -= 1
        if answer is not None and answer.granted:
            self._grants += 1
        elif answer is not None:
            self._kinds.add(answer.kind)
        return self.won or self._grants + self._outstanding < self._needed

    def get_failure(self) -> Failure:
        """Return why the claim was not won.

        Concurrent claims may each get too few grants to win; both are then
        asked to retry.
        """
        for kind in REFUSAL_PRECEDENCE:
            if kind.value in self._kinds:
                retry = TIE_RETRY_S if kind is ErrorKind.KEY_IN_PROGRESS else 0.0
                return Failure(kind, retry_after_s=retry)
        return Failure(ErrorKind.KEY_HOME_UNREACHABLE, retry_after_s=TIE_RETRY_S)
