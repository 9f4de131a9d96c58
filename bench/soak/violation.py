"""Result of a failed check."""

from dataclasses import dataclass

__all__ = ["Violation"]


@dataclass(frozen=True, slots=True)
class Violation:
    """One violated invariant."""

    invariant: str
    detail: str
