"""Request headers as the platform's callers send them."""

from fescuekeel.helpers.dialect import Header
from standins.forwarding.platform import HOST, MODEL

__all__ = [
    "BASE_MODEL_HEADERS",
    "MAX_ANSWER_BYTES",
    "make_headers",
]

PROMPT_TOKENS = 500
MAX_TOKENS = 20
# The longest answer that a caller reads.
MAX_ANSWER_BYTES = 1024 * 1024
# Headers of a request for the model without an adapter.
BASE_MODEL_HEADERS: tuple[Header, ...] = (
    ("Fescuekeel-Model", MODEL),
    ("Fescuekeel-Token-Count", f"{PROMPT_TOKENS},{MAX_TOKENS}"),
)


def make_headers(
    request_id: str,
    time_left_s: float,
    adapter: str = "",
    body: bytes | None = None,
    key: str = "",
) -> list[Header]:
    """Return the headers of a request; an adapter adds those of its model.

    >>> dict(make_headers("r1", 3.0))["Fescuekeel-Deadline-Ms"]
    '3000'
    """
    headers = [
        ("Host", HOST),
        ("Fescuekeel-Request-Id", request_id),
        ("Fescuekeel-Deadline-Ms", str(int(time_left_s * 1000))),
    ]
    if adapter:
        headers.append(("Fescuekeel-Model", f"{MODEL}/{adapter}"))
        headers.append(("Fescuekeel-Token-Count", f"{PROMPT_TOKENS},{MAX_TOKENS}"))
    if key:
        headers.append(("X-Api-Key", key))
    if body is not None:
        headers.append(("Content-Length", str(len(body))))
    return headers
