"""Bound the work that decoding JSON of an endpoint takes; pure.

Decoding runs in one go, and takes time by the number of values rather than by
their bytes.
"""

__all__ = ["MAX_ENDPOINT_VALUES", "check_value_count"]

# An endpoint tells of some hundred adapters and runs, with a few values each.
MAX_ENDPOINT_VALUES = 16 * 1024


def check_value_count(body: bytes, max_values: int = MAX_ENDPOINT_VALUES) -> None:
    """Raise ``ValueError`` if a body may hold more values than allowed.

    Punctuation within strings counts as well.

    >>> check_value_count(b'{"running": [1, 2]}')
    >>> check_value_count(b"[1, 2, 3]", max_values=2)
    Traceback (most recent call last):
    ...
    ValueError: the body may hold over 2 values
    """
    if sum(map(body.count, (b",", b"[", b"{"))) > max_values:
        raise ValueError(f"the body may hold over {max_values} values")
