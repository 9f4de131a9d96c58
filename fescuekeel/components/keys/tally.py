"""Count the homes' answers to one claim; a pure decision."""

from fescuekeel.components.keys.const import TIE_RETRY_S
from fescuekeel.components.keys.homes import count_majority
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.messages import KeyAnswer

__all__ = ["Tally"]

# Of several refusals the caller hears the one that says the most.
KINDS_BY_WEIGHT = (
    ErrorKind.KEY_USED,
    ErrorKind.KEY_MISMATCH,
    ErrorKind.KEY_IN_PROGRESS,
)


class Tally:
    """Count answers until the claim is won or cannot be won any more.

    >>> tally = Tally(3)
    >>> tally.add(KeyAnswer(True)), tally.won
    (False, False)
    >>> tally.add(KeyAnswer(True)), tally.won
    (True, True)
    """

    def __init__(self, homes: int) -> None:
        self._needed = count_majority(homes)
        self._waiting = homes
        self._grants = 0
        self._kinds: set[str] = set()

    @property
    def won(self) -> bool:
        """Tell whether a majority has granted."""
        return self._grants >= self._needed

    def add(self, answer: KeyAnswer | None) -> bool:
        """Count an answer, or none in time; return whether it is decided."""
        self._waiting -= 1
        if answer is not None and answer.granted:
            self._grants += 1
        elif answer is not None:
            self._kinds.add(answer.kind)
        return self.won or self._grants + self._waiting < self._needed

    def get_failure(self) -> Failure:
        """Return why the claim was not won.

        Two claims at once may each get one grant; then neither wins, and both
        are told to come again.
        """
        for kind in KINDS_BY_WEIGHT:
            if kind.value in self._kinds:
                retry = TIE_RETRY_S if kind is ErrorKind.KEY_IN_PROGRESS else 0.0
                return Failure(kind, retry_after_s=retry)
        return Failure(ErrorKind.KEY_HOME_UNREACHABLE, retry_after_s=TIE_RETRY_S)
