"""Validated models of the sections of the tree."""

import re
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, field_validator

from fescuekeel.components.tree.const import CONF_TOKEN_SHA256, NAME_PATTERN
from fescuekeel.components.tree.model import PoolKind

__all__ = ["Overrides", "PoolSection", "RosterSection", "ShopSection"]

MAX_URGENCY = 9
MAX_ANSWER_S = 3600.0
MAX_WEIGHT = 1000.0
MAX_LIMIT = 1_000_000
SHA256_HEX = re.compile(r"[0-9a-f]{64}")

Weight = Annotated[float, Field(ge=0, le=MAX_WEIGHT)]
Count = Annotated[int, Field(ge=0, le=MAX_LIMIT)]
Seconds = Annotated[float, Field(gt=0, le=MAX_ANSWER_S)]


class Section(BaseModel):
    """Base of sections; rejects unknown keys, infinity and NaN."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class Overrides(Section):
    """The keys that a shop, a service or an adapter may set."""

    urgency: int | None = Field(default=None, ge=0, le=MAX_URGENCY)
    answer_s: Seconds | None = None
    repeatable: bool | None = None
    stall_weight: Weight | None = None
    batch_weight: Weight | None = None
    max_in_flight: Count | None = None
    rate_per_s: Annotated[float, Field(ge=0, le=MAX_LIMIT)] | None = None
    retry_share: Annotated[float, Field(ge=0, le=1)] | None = None
    max_tokens: Count | None = None
    pool: str | None = Field(default=None, pattern=f"^{NAME_PATTERN}$")


class ShopSection(Overrides):
    """A shop: its overrides and the hashes of its one or two tokens."""

    token_sha256: tuple[str, ...]

    @field_validator(CONF_TOKEN_SHA256, mode="before")
    @classmethod
    def split_hashes(cls, value: object) -> object:
        """Split at commas; two hashes allow rotation without downtime."""
        if not isinstance(value, str):
            return value
        hashes = tuple(part.strip() for part in value.split(","))
        if not 1 <= len(hashes) <= 2:
            raise ValueError("expected one or two comma-separated hashes")
        if not all(SHA256_HEX.fullmatch(item) for item in hashes):
            raise ValueError("expected hashes of 64 lower-case hexadecimal digits")
        return hashes


class PoolSection(Section):
    """A pool of endpoints; see ``Pool`` for the units."""

    kind: PoolKind
    fenced: bool = False
    slots: int = Field(default=8, ge=1, le=4096)
    max_running: int = Field(default=16, ge=1, le=65536)
    step_s: Seconds = 0.008
    load_s: Seconds = 0.5


class RosterSection(Section):
    """The adapters of a service, one per line."""

    names: str
