"""A complete revision: its parts, compressed and parsed."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.tree.const import MAX_PART_BYTES
from fescuekeel.components.tree.intent import CompactIntent, build_intent
from fescuekeel.components.tree.parts import TreePartModel, parse_part
from fescuekeel.components.tree.revision import TreeManifest, hash_content
from fescuekeel.errors import ErrorKind, Failure

__all__ = ["Snapshot", "StoredPart", "build_snapshot", "pack", "unpack"]


@dataclass(frozen=True, slots=True)
class StoredPart:
    """A part, compressed as it is sent to peers, and parsed."""

    packed: bytes
    model: TreePartModel


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A valid revision with its parts."""

    manifest: TreeManifest
    intent: CompactIntent
    parts_by_hash: dict[str, StoredPart] = field(default_factory=dict)


def pack(content: bytes) -> bytes:
    """Compress a manifest or a part for peers."""
    return zlib.compress(content)


def unpack(packed: bytes) -> bytes | None:
    """Decompress what a peer sent; ``None`` if it is invalid or too large.

    Guards against decompression bombs by a limit on the output.

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
    """Parse new parts and join all; called in a thread.

    A part that has the same name and hash in the previous snapshot is reused.
    """
    parts_by_hash: dict[str, StoredPart] = {}
    models: list[TreePartModel] = []
    for name, digest in manifest.hashes_by_part.items():
        held = previous.parts_by_hash.get(digest) if previous else None
        if held is None or held.model.name != name:
            content = contents_by_hash.get(digest)
            if content is None and held is not None:
                content = unpack(held.packed)
            if content is None or hash_content(content) != digest:
                detail = f"part {name}: content does not match the hash in the manifest"
                return Err(Failure(ErrorKind.INVALID_TREE, detail))
            parsed = parse_part(name, content, pause=True)
            if not isinstance(parsed, Success):
                return Err(parsed.failure())
            held = StoredPart(pack(content), parsed.unwrap())
        parts_by_hash[digest] = held
        models.append(held.model)
    return build_intent(manifest.revision, models).map(
        lambda intent: Snapshot(manifest, intent, parts_by_hash)
    )
