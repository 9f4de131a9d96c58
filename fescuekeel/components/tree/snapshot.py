"""One whole revision: its parts, packed and parsed."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.tree.const import MAX_PART_BYTES
from fescuekeel.components.tree.intent import CompactIntent, build_intent
from fescuekeel.components.tree.parts import TreePartModel, parse_part
from fescuekeel.components.tree.revision import TreeManifest, hash_content
from fescuekeel.errors import ErrorKind, Failure

__all__ = ["HeldPart", "Snapshot", "build_snapshot", "pack", "unpack"]


@dataclass(frozen=True, slots=True)
class HeldPart:
    """A part as it is passed on, and what it says."""

    packed: bytes
    model: TreePartModel


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A valid revision; its parts are found by their hash."""

    manifest: TreeManifest
    intent: CompactIntent
    parts_by_hash: dict[str, HeldPart] = field(default_factory=dict)


def pack(content: bytes) -> bytes:
    """Compress a part; rosters shrink to a fraction."""
    return zlib.compress(content)


def unpack(packed: bytes) -> bytes | None:
    """Decompress what a peer sent, or return ``None``.

    Guards against a small message that unpacks to any size, by a bound on
    the output.

    >>> unpack(pack(b"part"))
    b'part'
    >>> unpack(b"nonsense")
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, MAX_PART_BYTES)
    except zlib.error:
        return None
    return content if decompressor.eof else None


def build_snapshot(
    manifest: TreeManifest,
    contents_by_hash: Mapping[str, bytes],
    previous: Snapshot | None,
) -> Result[Snapshot, Failure]:
    """Parse the parts that are new and join all; runs in a thread.

    A part whose hash the previous snapshot knows under the same name is
    taken from it as it stands.
    """
    parts_by_hash: dict[str, HeldPart] = {}
    models: list[TreePartModel] = []
    for name, digest in manifest.hashes_by_part.items():
        held = previous.parts_by_hash.get(digest) if previous else None
        if held is None or held.model.name != name:
            content = contents_by_hash.get(digest)
            if content is None and held is not None:
                content = unpack(held.packed)
            if content is None or hash_content(content) != digest:
                detail = f"part {name}: its hash is not that of the manifest"
                return Err(Failure(ErrorKind.INVALID_TREE, detail))
            parsed = parse_part(name, content, pause=True)
            if not isinstance(parsed, Success):
                return Err(parsed.failure())
            held = HeldPart(pack(content), parsed.unwrap())
        parts_by_hash[digest] = held
        models.append(held.model)
    return build_intent(manifest.revision, models).map(
        lambda intent: Snapshot(manifest, intent, parts_by_hash)
    )
