"""The task that follows the published tree and passes it on."""

import asyncio
from typing import Any

from returns.pipeline import is_successful

from fescuekeel.components.tree.const import DOMAIN, TICK_S
from fescuekeel.components.tree.events import (
    SERVICE,
    AskManifest,
    Count,
    Effect,
    FetchRevision,
    Heard,
    MembersSeen,
    PutInForce,
    RevisionFailed,
    RevisionTaken,
    SetReading,
    Tick,
)
from fescuekeel.components.tree.fetch import Fetcher
from fescuekeel.components.tree.follower import Follower
from fescuekeel.components.tree.model import TreeInForce
from fescuekeel.components.tree.revision import TreeManifest
from fescuekeel.components.tree.service import ServiceReader
from fescuekeel.components.tree.snapshot import Snapshot, build_snapshot, pack
from fescuekeel.core import Actor, Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import (
    LiveList,
    MemberView,
    PeerMessage,
    TreeAnnounced,
    TreeAsk,
    TreePart,
    TreeStored,
)

__all__ = ["TreeFollower"]


class TreeFollower(Actor):
    """Own the snapshot in force and the one being taken."""

    def __init__(self, instance: Instance) -> None:
        super().__init__(instance, DOMAIN)
        here = instance.settings.instance
        self._follower = Follower(here.id, here.data_centre, instance.now())
        self._reader = ServiceReader(instance, self._post_manifest)
        self._fetcher = Fetcher(
            lambda: get_peer_link(instance), self._reader, instance.metrics.count
        )
        self._snapshot: Snapshot | None = None
        self._taken: Snapshot | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._last_counted: Count | None = None

    async def start(self) -> None:
        """Listen to the others and begin to read."""
        bus = self.instance.bus
        bus.subscribe(MemberView, self._post_members)
        bus.subscribe(TreeAnnounced, self._post_heard)
        bus.subscribe_peer(TreeAsk, self._answer)
        await self._reader.start()
        await super().start()
        self.instance.spawn(self._tick(), "tree.tick")
        view = bus.latest(MemberView)
        if view is not None:
            self._post_members(view)

    async def stop(self) -> None:
        """Stop reading; what is in force stays for requests in progress."""
        await self._reader.stop()
        await super().stop()

    async def handle(self, message: Any) -> None:
        """Let the follower decide and do what it says."""
        for effect in self._follower.handle(message, self.instance.now()):
            self._do(effect)

    def _do(self, effect: Effect) -> None:
        match effect:
            case SetReading():
                self._reader.set_reading(effect)
            case AskManifest():
                self.instance.spawn(self._ask(effect), "tree.ask")
            case FetchRevision():
                if self._fetch is not None:
                    self._fetch.cancel()
                self._fetch = self.instance.spawn(self._take(effect), "tree.fetch")
            case PutInForce():
                self._put_in_force()
            case Count():
                self._count(effect)

    def _count(self, effect: Count) -> None:
        self.instance.metrics.count(effect.name)
        # A stale service offers the same each time that it is read.
        if effect == self._last_counted:
            return
        self._last_counted = effect
        log_event(
            "tree_ignored",
            reason=effect.name,
            revision=effect.revision,
            digest=effect.digest,
            source=effect.source or "service",
        )

    # What comes in.

    async def _tick(self) -> None:
        while True:
            self.post(Tick())
            await asyncio.sleep(TICK_S)

    def _post_members(self, view: MemberView) -> None:
        data_centres_by_id = {
            member.id: member.data_centre for member in view.members_by_id.values()
        }
        listed = self.instance.bus.latest(LiveList) is not None
        self.post(MembersSeen(data_centres_by_id, listed))

    def _post_heard(self, heard: TreeAnnounced) -> None:
        self.post(Heard(heard.revision, heard.digest, heard.holder))

    def _post_manifest(self, content: bytes) -> None:
        self.post(self._fetcher.read_manifest(SERVICE, content))

    # What is done.

    async def _ask(self, effect: AskManifest) -> None:
        self.post(await self._fetcher.ask_manifest(effect.peer, effect.revision))

    async def _take(self, effect: FetchRevision) -> None:
        manifest = effect.manifest
        try:
            self.post(await self._fetch_and_build(manifest, effect.sources))
        except Exception as error:
            # The follower waits for the end of a fetch before it begins the
            # same one again; without this it would wait without end.
            log_event("tree_fetch_error", error=repr(error))
            self.post(RevisionFailed(manifest, invalid=False))

    async def _fetch_and_build(
        self, manifest: TreeManifest, sources: tuple[str, ...]
    ) -> RevisionTaken | RevisionFailed:
        previous = self._taken or self._snapshot
        contents = await self._fetcher.fetch_parts(manifest, sources, previous)
        if contents is None:
            return RevisionFailed(manifest, invalid=False)
        result = await asyncio.to_thread(build_snapshot, manifest, contents, previous)
        if not is_successful(result):
            detail = result.failure().detail
            log_event("tree_refused", revision=manifest.revision, detail=detail)
            return RevisionFailed(manifest, invalid=True)
        self._taken = result.unwrap()
        return RevisionTaken(manifest)

    def _put_in_force(self) -> None:
        snapshot, self._taken = self._taken, None
        if snapshot is None:
            return
        held = self._snapshot
        if held is not None and held.manifest.revision >= snapshot.manifest.revision:
            return
        self._snapshot = snapshot
        manifest = snapshot.manifest
        log_event("tree_in_force", revision=manifest.revision, digest=manifest.digest)
        self.instance.metrics.count("tree.in_force")
        self.instance.bus.publish_state(TreeInForce(snapshot.intent))
        self.instance.bus.publish_state(TreeStored(manifest.revision, manifest.digest))

    def _answer(self, message: PeerMessage) -> None:
        assert isinstance(message.body, TreeAsk)
        part = self._find_part(message.body)
        get_peer_link(self.instance).answer(message, part)

    def _find_part(self, ask: TreeAsk) -> TreePart:
        """Return what is held; for a manifest that may be a higher one."""
        missing = TreePart(0, ask.name, b"")
        if self._snapshot is None:
            return missing
        manifest = self._snapshot.manifest
        if not ask.name and ask.revision <= manifest.revision:
            return TreePart(manifest.revision, "", pack(manifest.content))
        digest = manifest.hashes_by_part.get(ask.name)
        if digest is None or ask.revision != manifest.revision:
            return missing
        packed = self._snapshot.parts_by_hash[digest].packed
        return TreePart(manifest.revision, ask.name, packed)
