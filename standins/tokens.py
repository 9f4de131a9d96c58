"""Deterministic text of a stand-in engine."""

import xxhash

__all__ = ["expected_text", "token_text"]


def token_text(model: str, prompt: str, position: int) -> str:
    """Return one token: a pure function of adapter, prompt and position.

    A caller can thus verify that a completion is complete, in order, for its
    prompt, and of the right adapter and version.

    >>> token_text("a@1", "hello", 0) == token_text("a@1", "hello", 0)
    True
    >>> token_text("a@1", "hello", 0) == token_text("a@2", "hello", 0)
    False
    """
    digest = xxhash.xxh64_intdigest(f"{model}\n{prompt}\n{position}".encode())
    return f" {position}:{digest & 0xFFFFFF:06x}"


def expected_text(model: str, prompt: str, tokens: int) -> str:
    """Return the complete text of a number of tokens."""
    return "".join(token_text(model, prompt, number) for number in range(tokens))
