"""The published manifest of one revision: its number and its parts' hashes."""

import configparser
import hashlib
import re
from collections.abc import Mapping
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from returns.result import Failure as Err, Result, Success

from fescuekeel.components.tree.const import MAX_PART_BYTES, MAX_PARTS, NAME_PATTERN
from fescuekeel.errors import ErrorKind, Failure

__all__ = ["TreeManifest", "format_manifest", "hash_content", "parse_manifest"]

MAX_REVISION = 2**63 - 1
SHA256_HEX = re.compile(r"[0-9a-f]{64}")


def hash_content(content: bytes) -> str:
    """Return the SHA-256 in hex.

    >>> hash_content(b"")[:8]
    'e3b0c442'
    """
    return hashlib.sha256(content).hexdigest()


@dataclass(frozen=True, slots=True)
class TreeManifest:
    """One revision; ``digest`` is the SHA-256 of the published ``content``."""

    revision: int
    digest: str
    hashes_by_part: dict[str, str]
    content: bytes


class ManifestHeader(BaseModel):
    """Validate the section ``tree``."""

    model_config = ConfigDict(extra="forbid")

    revision: int = Field(ge=1, le=MAX_REVISION)


class ManifestModel(BaseModel):
    """Validate the whole manifest."""

    model_config = ConfigDict(extra="forbid")

    tree: ManifestHeader
    parts: dict[str, str] = Field(min_length=1, max_length=MAX_PARTS)

    @field_validator("parts")
    @classmethod
    def check_parts(cls, value: dict[str, str]) -> dict[str, str]:
        """Check the names and hashes of the parts."""
        for name, digest in value.items():
            if not re.fullmatch(NAME_PATTERN, name):
                raise ValueError(f"part {name[:80]!r} has an invalid name")
            if not SHA256_HEX.fullmatch(digest):
                raise ValueError(f"part {name}: expected 64 lower-case hex digits")
        return value


def parse_manifest(content: bytes) -> Result[TreeManifest, Failure]:
    """Parse and validate a manifest.

    >>> parse_manifest(b"[tree]").failure().detail
    'manifest: tree.revision: Field required'
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\n")
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    if len(content) > MAX_PART_BYTES:
        return _reject(f"more than {MAX_PART_BYTES} bytes")
    try:
        parser.read_string(content.decode("utf-8"))
        raw = {name: dict(parser[name]) for name in parser.sections()}
        model = ManifestModel.model_validate(raw)
    except (configparser.Error, UnicodeDecodeError) as error:
        return _reject(" ".join(str(error).split()))
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(map(str, first["loc"]))
        return _reject(f"{location}: {first['msg']}")
    digest = hash_content(content)
    return Success(TreeManifest(model.tree.revision, digest, model.parts, content))


def _reject(detail: str) -> Result[TreeManifest, Failure]:
    return Err(Failure(ErrorKind.INVALID_TREE, f"manifest: {detail}"))


def format_manifest(revision: int, contents_by_part: Mapping[str, bytes]) -> str:
    """Return the manifest that publishes these parts.

    >>> print(format_manifest(7, {"main": b""}).splitlines()[1])
    revision = 7
    """
    lines = ["[tree]", f"revision = {revision}", "", "[parts]"]
    for name, content in sorted(contents_by_part.items()):
        lines.append(f"{name} = {hash_content(content)}")
    return "\n".join(lines) + "\n"
