"""The task that follows the published tree and publishes it on the bus."""

import asyncio
from typing import Any

from returns.pipeline import is_successful

from fescuekeel.components.tree.config_service import ConfigServiceReader
from fescuekeel.components.tree.const import DOMAIN, TICK_S
from fescuekeel.components.tree.events import (
    CONFIG_SERVICE,
    Effect,
    FetchRevision,
    MembersChanged,
    PutInForce,
    ReportIgnored,
    RequestManifest,
    RevisionAdvertised,
    RevisionFailed,
    RevisionFetched,
    SetReadMode,
    Tick,
)
from fescuekeel.components.tree.fetch import Fetcher
from fescuekeel.components.tree.follower import Follower
from fescuekeel.components.tree.model import TreeInForce
from fescuekeel.components.tree.revision import TreeManifest
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
    """Hold the snapshot in force and the one that is to replace it."""

    def __init__(self, instance: Instance) -> None:
        super().__init__(instance, DOMAIN)
        own = instance.settings.instance
        self._follower = Follower(own.id, own.data_centre, instance.now())
        self._reader = ConfigServiceReader(instance, self._post_manifest)
        self._fetcher = Fetcher(
            lambda: get_peer_link(instance), self._reader, instance.metrics.count
        )
        self._snapshot: Snapshot | None = None
        self._validated: Snapshot | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._last_reported: ReportIgnored | None = None

    async def start(self) -> None:
        """Subscribe to members and peers, and start to read the tree."""
        bus = self.instance.bus
        bus.subscribe(MemberView, self._post_members)
        bus.subscribe(TreeAnnounced, self._post_advertised)
        bus.subscribe_peer(TreeAsk, self._answer)
        await self._reader.start()
        await super().start()
        self.instance.keep_running(self._tick, "tree.tick")
        view = bus.latest(MemberView)
        if view is not None:
            self._post_members(view)

    async def stop(self) -> None:
        """Stop reading; the tree in force stays for requests in progress."""
        await self._reader.stop()
        await super().stop()

    async def handle(self, message: Any) -> None:
        """Pass a message to the follower and run the effects it returns."""
        for effect in self._follower.handle(message, self.instance.now()):
            self._run_effect(effect)

    def _run_effect(self, effect: Effect) -> None:
        match effect:
            case SetReadMode():
                self._reader.set_read_mode(effect)
            case RequestManifest():
                self.instance.spawn(self._request_manifest(effect), "tree.ask")
            case FetchRevision():
                if self._fetch_task is not None:
                    self._fetch_task.cancel()
                self._fetch_task = self.instance.spawn(
                    self._fetch_revision(effect), "tree.fetch"
                )
            case PutInForce():
                self._put_in_force()
            case ReportIgnored():
                self._report_ignored(effect)

    def _report_ignored(self, effect: ReportIgnored) -> None:
        self.instance.metrics.count(effect.counter)
        # A stale configuration service returns the same revision every time.
        if effect == self._last_reported:
            return
        self._last_reported = effect
        log_event(
            "tree_ignored",
            reason=effect.counter,
            revision=effect.revision,
            digest=effect.digest,
            source=effect.source or "service",
        )

    # Events.

    async def _tick(self) -> None:
        while True:
            self.post(Tick())
            await asyncio.sleep(TICK_S)

    def _post_members(self, view: MemberView) -> None:
        data_centres_by_id = {
            member.id: member.data_centre for member in view.members_by_id.values()
        }
        live_list_read = self.instance.bus.latest(LiveList) is not None
        self.post(MembersChanged(data_centres_by_id, live_list_read))

    def _post_advertised(self, advertised: TreeAnnounced) -> None:
        self.post(
            RevisionAdvertised(
                advertised.revision, advertised.digest, advertised.holder
            )
        )

    def _post_manifest(self, content: bytes) -> None:
        self.post(self._fetcher.read_manifest(CONFIG_SERVICE, content))

    # Effects.

    async def _request_manifest(self, effect: RequestManifest) -> None:
        self.post(await self._fetcher.request_manifest(effect.peer, effect.revision))

    async def _fetch_revision(self, effect: FetchRevision) -> None:
        manifest = effect.manifest
        try:
            self.post(await self._fetch_and_build(manifest, effect.sources))
        except Exception as error:
            # The follower starts no fetch that it considers running: without
            # this event it would never retry.
            log_event("tree_fetch_error", error=repr(error))
            self.post(RevisionFailed(manifest, invalid=False))

    async def _fetch_and_build(
        self, manifest: TreeManifest, sources: tuple[str, ...]
    ) -> RevisionFetched | RevisionFailed:
        previous = self._validated or self._snapshot
        contents = await self._fetcher.fetch_parts(manifest, sources, previous)
        if contents is None:
            return RevisionFailed(manifest, invalid=False)
        result = await asyncio.to_thread(build_snapshot, manifest, contents, previous)
        if not is_successful(result):
            detail = result.failure().detail
            log_event("tree_refused", revision=manifest.revision, detail=detail)
            return RevisionFailed(manifest, invalid=True)
        self._validated = result.unwrap()
        return RevisionFetched(manifest)

    def _put_in_force(self) -> None:
        snapshot, self._validated = self._validated, None
        if snapshot is None:
            return
        current = self._snapshot
        if (
            current is not None
            and current.manifest.revision >= snapshot.manifest.revision
        ):
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
        """Return the requested part or manifest; revision 0 means not held.

        The manifest may be of a higher revision than requested.
        """
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
