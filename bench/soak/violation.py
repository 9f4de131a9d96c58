"""What a check reports."""

from dataclasses import dataclass

__all__ = ["Violation"]


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise."""

    promise: str
    detail: str
