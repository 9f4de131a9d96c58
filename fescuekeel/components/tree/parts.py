"""Parsing and validation of a single part of the tree."""

import configparser
import re
from dataclasses import dataclass, field
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure as Err, Result, Success

from fescuekeel.components.tree.const import (
    CONF_NAMES,
    MAX_PART_BYTES,
    NAME_PATTERN,
    SECTION_ADAPTER,
    SECTION_POOL,
    SECTION_ROSTER,
    SECTION_SERVICE,
    SECTION_SHOP,
)
from fescuekeel.components.tree.pacing import pace
from fescuekeel.components.tree.roster import Roster, RosterError, pack_roster
from fescuekeel.components.tree.sections import (
    Overrides,
    PoolSection,
    RosterSection,
    ShopSection,
)
from fescuekeel.errors import ErrorKind, Failure

__all__ = ["TreePartModel", "describe_location", "parse_part"]

S = TypeVar("S", bound=BaseModel)

# Disables the default section: no name in a file contains a line break.
UNUSED_DEFAULT_SECTION = "\n"
DEPTHS_BY_KIND = {
    SECTION_SHOP: 1,
    SECTION_POOL: 1,
    SECTION_SERVICE: 2,
    SECTION_ROSTER: 2,
    SECTION_ADAPTER: 3,
}
SECTION_NAME = re.compile(rf"([a-z]+) ({NAME_PATTERN}(?:/{NAME_PATTERN})*)")


@dataclass(frozen=True, slots=True)
class TreePartModel:
    """The validated sections of one part, by name or path."""

    name: str
    pools_by_name: dict[str, PoolSection] = field(default_factory=dict)
    shops_by_name: dict[str, ShopSection] = field(default_factory=dict)
    services_by_path: dict[str, Overrides] = field(default_factory=dict)
    adapters_by_path: dict[str, Overrides] = field(default_factory=dict)
    rosters_by_path: dict[str, Roster] = field(default_factory=dict)


class _SectionError(Exception):
    """A section is invalid; the message is for the operator."""


def describe_location(part: str, section: str, key: str = "") -> str:
    """Describe where in the tree an error is.

    >>> describe_location("main", "shop a", "urgency")
    'part main, section [shop a], key urgency'
    """
    location = f"part {part}, section [{section}]"
    return f"{location}, key {key}" if key else location


def parse_part(
    name: str, content: bytes, pause: bool = False
) -> Result[TreePartModel, Failure]:
    """Parse and validate one part.

    The error names the part, the section and the key:

    >>> parse_part("main", b"[pool p]").failure().detail
    'part main, section [pool p], key kind: Field required'
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section=UNUSED_DEFAULT_SECTION,
        strict=True,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    if len(content) > MAX_PART_BYTES:
        return _reject(f"part {name}: more than {MAX_PART_BYTES} bytes")
    try:
        lines = pace(content.decode("utf-8").splitlines(), pause)
        parser.read_file(lines, source=name)
        return Success(_read_sections(name, parser, pause))
    except (configparser.Error, UnicodeDecodeError) as error:
        return _reject(f"part {name}: {' '.join(str(error).split())}")
    except _SectionError as error:
        return _reject(str(error))


def _reject(detail: str) -> Result[TreePartModel, Failure]:
    return Err(Failure(ErrorKind.INVALID_TREE, detail))


def _read_sections(
    name: str, parser: configparser.ConfigParser, pause: bool
) -> TreePartModel:
    model = TreePartModel(name)
    for section in parser.sections():
        kind, path = _split_section(name, section)
        raw = dict(parser.items(section))
        if kind == SECTION_POOL:
            model.pools_by_name[path] = _validate(PoolSection, raw, name, section)
        elif kind == SECTION_SHOP:
            model.shops_by_name[path] = _validate(ShopSection, raw, name, section)
        elif kind == SECTION_SERVICE:
            model.services_by_path[path] = _validate(Overrides, raw, name, section)
        elif kind == SECTION_ADAPTER:
            model.adapters_by_path[path] = _validate(Overrides, raw, name, section)
        else:
            model.rosters_by_path[path] = _read_roster(raw, name, section, pause)
    return model


def _split_section(name: str, section: str) -> tuple[str, str]:
    match = SECTION_NAME.fullmatch(section)
    depth = DEPTHS_BY_KIND.get(match[1]) if match else None
    if match is None or depth is None or match[2].count("/") + 1 != depth:
        location = describe_location(name, section[:80])
        raise _SectionError(f"{location}: unknown kind of section or wrong path")
    return match[1], match[2]


def _validate(model: type[S], raw: dict[str, str], name: str, section: str) -> S:
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        # The value is omitted, since it may be a token's hash.
        first = error.errors(include_input=False)[0]
        key = ".".join(map(str, first["loc"]))
        location = describe_location(name, section, key)
        raise _SectionError(f"{location}: {first['msg']}") from error


def _read_roster(raw: dict[str, str], name: str, section: str, pause: bool) -> Roster:
    names = _validate(RosterSection, raw, name, section).names
    try:
        lines = pace(names.splitlines(), pause)
        return pack_roster(line for line in lines if line.strip())
    except RosterError as error:
        location = describe_location(name, section, CONF_NAMES)
        raise _SectionError(f"{location}: {error}") from error
