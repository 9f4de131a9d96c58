"""A small tree for tests."""

import hashlib

from fescuekeel.components.tree.revision import format_manifest

TOKEN = "a-token"

MAIN = f"""
[pool engines]
kind = engine
fenced = true
slots = 4

[pool plain]
kind = plain

[shop tricks]
token_sha256 = {hashlib.sha256(TOKEN.encode()).hexdigest()}
pool = engines
stall_weight = 4
rate_per_s = 50

[service tricks/scripts]
urgency = 0
answer_s = 4

[service tricks/orders]
pool = plain
repeatable = no
max_in_flight = 8

[adapter tricks/scripts/cups]
max_tokens = 99
"""

ROSTER = """
[roster tricks/scripts]
names =
    cups 1.10 1.9
    # Retired at the end of the season.
    balls 2
"""


def make_contents(revision_note: str = "") -> dict[str, bytes]:
    """Return the parts of the tree; a note changes their content."""
    main = MAIN + f"# {revision_note}\n"
    return {"main": main.encode(), "roster": ROSTER.encode()}


def make_manifest(revision: int, contents: dict[str, bytes]) -> bytes:
    """Return the manifest of a revision."""
    return format_manifest(revision, contents).encode()
