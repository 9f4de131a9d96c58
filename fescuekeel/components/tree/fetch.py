"""Fetching manifests and parts from peers or the configuration service."""

from collections.abc import Callable
from typing import Protocol

from returns.result import Success

from fescuekeel.components.tree.const import PEER_TIMEOUT_S
from fescuekeel.components.tree.events import CONFIG_SERVICE, ManifestRead
from fescuekeel.components.tree.revision import (
    TreeManifest,
    hash_content,
    parse_manifest,
)
from fescuekeel.components.tree.snapshot import Snapshot, unpack
from fescuekeel.helpers.peer_link import PeerLink
from fescuekeel.messages import TreeAsk, TreePart

__all__ = ["Fetcher"]

MAX_SOURCES = 4


class ConfigService(Protocol):
    """The configuration service, as the fetcher uses it."""

    async def read_manifest(self) -> bytes | None:
        """Read the manifest."""

    async def read_part(self, revision: int, name: str) -> bytes | None:
        """Read a part."""


class Fetcher:
    """Request manifests and parts from sources."""

    def __init__(
        self,
        get_link: Callable[[], PeerLink],
        service: ConfigService,
        count: Callable[[str], None],
    ) -> None:
        self._get_link = get_link
        self._service = service
        self._count = count

    async def request_manifest(self, source: str, revision: int) -> ManifestRead:
        """Request the manifest of a source; failures are returned."""
        if source == CONFIG_SERVICE:
            content = await self._service.read_manifest()
            return self.read_manifest(source, content)
        answered, content = await self._request_from_peer(source, revision, "")
        if not answered:
            return ManifestRead(source, None, answered=False)
        return self.read_manifest(source, content)

    def read_manifest(self, source: str, content: bytes | None) -> ManifestRead:
        """Parse the manifest that a source returned."""
        if content is None:
            return ManifestRead(source, None)
        result = parse_manifest(content)
        if not isinstance(result, Success):
            self._count("refused.invalid_tree")
            return ManifestRead(source, None)
        return ManifestRead(source, result.unwrap())

    async def fetch_parts(
        self,
        manifest: TreeManifest,
        sources: tuple[str, ...],
        previous: Snapshot | None,
    ) -> dict[str, bytes] | None:
        """Fetch the parts that are not held; ``None`` if one is unavailable.

        A part is accepted only if its hash matches the manifest: a stale
        service, or a peer at another revision, may return another one.
        """
        held = previous.parts_by_hash if previous else {}
        contents_by_hash: dict[str, bytes] = {}
        # The configuration service is last; it stays when the list is cut.
        chosen = [*sources[:-1][: MAX_SOURCES - 1], *sources[-1:]]
        for name, digest in manifest.hashes_by_part.items():
            if digest in held or digest in contents_by_hash:
                continue
            content = await self._fetch_part(manifest, name, digest, chosen)
            if content is None:
                return None
            contents_by_hash[digest] = content
        return contents_by_hash

    async def _fetch_part(
        self, manifest: TreeManifest, name: str, digest: str, sources: list[str]
    ) -> bytes | None:
        for source in list(sources):
            content = await self._read_part(source, manifest.revision, name)
            if content is not None and hash_content(content) == digest:
                self._count(
                    "tree.part.service"
                    if source == CONFIG_SERVICE
                    else "tree.part.peer"
                )
                return content
            self._count("tree.part.failed")
            # A source that failed moves to the end, so that an unresponsive
            # peer costs one timeout rather than one per part.
            sources.remove(source)
            sources.append(source)
        return None

    async def _read_part(self, source: str, revision: int, name: str) -> bytes | None:
        if source == CONFIG_SERVICE:
            return await self._service.read_part(revision, name)
        _, content = await self._request_from_peer(source, revision, name)
        return content

    async def _request_from_peer(
        self, peer: str, revision: int, name: str
    ) -> tuple[bool, bytes | None]:
        request = TreeAsk(revision, name)
        result = await self._get_link().ask(peer, request, PEER_TIMEOUT_S)
        if not isinstance(result, Success):
            return False, None
        part = result.unwrap()
        if not isinstance(part, TreePart) or part.revision == 0:
            return True, None
        return True, unpack(part.content)
