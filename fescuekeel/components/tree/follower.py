"""Decides which revision to fetch and when to put it in force; no I/O."""

from dataclasses import dataclass, field

from fescuekeel.components.tree.const import (
    MAX_RETRY_S,
    MAX_STARTUP_REQUESTS,
    MAX_STARTUP_S,
    MIN_POLL_S,
    MIN_STARTUP_S,
    POLLS_PER_S,
    RETRY_S,
    STARTUP_REQUEST_DELAYS_S,
    WATCHERS_PER_DATA_CENTRE,
)
from fescuekeel.components.tree.events import (
    CONFIG_SERVICE,
    Effect,
    Event,
    FetchRevision,
    ManifestRead,
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
from fescuekeel.components.tree.revision import TreeManifest
from fescuekeel.util import rendezvous

__all__ = ["Follower"]

MAX_REJECTED = 256
MAX_DOUBLINGS = 8
COUNTER_OLDER = "tree.ignored.older"
COUNTER_CONFLICT = "tree.refused.conflict"
COUNTER_INVALID = "refused.invalid_tree"

# Revision number and manifest digest, in the order of precedence.
RevisionId = tuple[int, str]
NO_REVISION: RevisionId = (0, "")


@dataclass(slots=True)
class Candidate:
    """A revision above the one held, with its holders and manifest.

    ``tried`` are holders that did not return the manifest. After a failure
    there is no retry before ``retry_at``; a lower revision may be fetched
    meanwhile, so that a manifest without parts does not block all others. An
    ``unconfirmed`` candidate held by peers is not fetched until its manifest
    is read again.
    """

    holders: set[str] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    manifest: TreeManifest | None = None
    unconfirmed: bool = False
    failures: int = 0
    retry_at: float = 0.0

    @property
    def peers(self) -> set[str]:
        """Return the holders that are instances."""
        return self.holders - {CONFIG_SERVICE}

    @property
    def can_be_fetched(self) -> bool:
        """Tell whether the manifest is known and needs no confirmation."""
        return self.manifest is not None and not (self.unconfirmed and self.peers)

    def back_off(self, now: float) -> None:
        """Set the time of the next retry, with exponential delay."""
        doublings = min(self.failures, MAX_DOUBLINGS)
        self.retry_at = now + min(MAX_RETRY_S, RETRY_S * 2**doublings)
        self.failures += 1


@dataclass(slots=True)
class StartupRequest:
    """Progress of the manifest request to one peer at startup."""

    attempts: int = 0
    waiting: bool = False
    done: bool = False


class Follower:
    """Follow the tree for one instance; times are monotonic seconds.

    A revision in force is only ever replaced by a higher one. At startup none
    is put in force before the peers were asked, so that a new instance with
    a stale configuration service does not serve a revision that its peers
    have replaced.
    """

    def __init__(self, id: str, data_centre: str, now: float) -> None:
        self.id = id
        self.data_centre = data_centre
        self.started_at = now
        self.starting = True
        self.in_force: RevisionId = NO_REVISION
        self._validated: TreeManifest | None = None
        self._data_centres_by_id: dict[str, str] = {id: data_centre}
        self._live_list_read = False
        self._candidates_by_revision_id: dict[RevisionId, Candidate] = {}
        self._rejected: dict[RevisionId, None] = {}
        self._startup_requests_by_peer: dict[str, StartupRequest] = {}
        self._fetching: RevisionId | None = None
        self._pending_request: tuple[RevisionId, str] | None = None
        self._read_mode: SetReadMode | None = None

    @property
    def held(self) -> RevisionId:
        """Return the highest revision that is complete and valid here."""
        if self._validated is None:
            return self.in_force
        return (self._validated.revision, self._validated.digest)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event and return the effects to run."""
        effects: list[Effect] = []
        match event:
            case MembersChanged():
                self._data_centres_by_id = event.data_centres_by_id
                self._live_list_read = event.live_list_read
                effects += self._update_read_mode()
            case RevisionAdvertised():
                revision_id = (event.revision, event.digest)
                effects += self._record_offer(revision_id, event.holder, None)
            case ManifestRead():
                effects += self._handle_manifest(event, now)
            case RevisionFetched():
                self._accept_fetched(event.manifest)
            case RevisionFailed():
                effects += self._handle_failure(event, now)
            case Tick():
                effects += self._update_read_mode()
        effects += self._fetch_highest(now)
        if self.starting:
            effects += self._advance_startup(now)
        else:
            effects += self._put_in_force()
        return effects

    # The configuration service.

    def _update_read_mode(self) -> list[Effect]:
        """Choose watch or poll; return an effect if that changes.

        A few instances per data centre hold a watch. The others poll, at an
        interval that grows with their number, so that the load on the service
        depends on the number of data centres, not of instances.
        """
        local_ids = [
            id
            for id, data_centre in self._data_centres_by_id.items()
            if data_centre == self.data_centre
        ]
        key = f"tree/{self.data_centre}"
        watchers = rendezvous.rank(key, local_ids)[:WATCHERS_PER_DATA_CENTRE]
        poll_s = max(MIN_POLL_S, len(local_ids) / POLLS_PER_S)
        read_mode = SetReadMode(self.id in watchers, poll_s)
        if read_mode == self._read_mode:
            return []
        self._read_mode = read_mode
        return [read_mode]

    # Revisions offered by sources.

    def _record_offer(
        self, revision_id: RevisionId, source: str, manifest: TreeManifest | None
    ) -> list[Effect]:
        revision, digest = revision_id
        if revision < self.held[0]:
            return [ReportIgnored(COUNTER_OLDER, revision, digest, source)]
        if revision == self.held[0]:
            if digest == self.held[1]:
                return []
            # Two trees were published under one revision; the first one stays,
            # since their order is unknown.
            return [ReportIgnored(COUNTER_CONFLICT, revision, digest, source)]
        if revision_id in self._rejected:
            return []
        candidate = self._candidates_by_revision_id.setdefault(revision_id, Candidate())
        if source not in candidate.holders:
            candidate.holders.add(source)
            candidate.failures = 0
            candidate.retry_at = self.started_at
        if manifest is not None:
            candidate.manifest = manifest
            candidate.unconfirmed = False
        return []

    def _handle_manifest(self, event: ManifestRead, now: float) -> list[Effect]:
        request = self._startup_requests_by_peer.get(event.source)
        if request is not None:
            request.waiting = False
            request.done = event.answered or request.attempts >= len(
                STARTUP_REQUEST_DELAYS_S
            )
        manifest = event.manifest
        revision_id = (manifest.revision, manifest.digest) if manifest else NO_REVISION
        if (
            self._pending_request is not None
            and self._pending_request[1] == event.source
        ):
            requested, self._pending_request = self._pending_request[0], None
            if revision_id < requested:
                self._drop_replaced_holder(requested, event)
                self._mark_tried(requested, event.source, now)
        if manifest is None:
            return []
        return self._record_offer(revision_id, event.source, manifest)

    def _mark_tried(self, revision_id: RevisionId, holder: str, now: float) -> None:
        candidate = self._candidates_by_revision_id.get(revision_id)
        if candidate is None:
            return
        candidate.tried.add(holder)
        if candidate.tried >= candidate.peers:
            # A peer may advertise a revision before it can serve it.
            candidate.tried.clear()
            candidate.back_off(now)
        self._drop_without_holders(revision_id)

    def _drop_replaced_holder(
        self, revision_id: RevisionId, event: ManifestRead
    ) -> None:
        """Remove a holder that answered without the revision it once held.

        Guards against a peer that was replaced under the same id while this
        instance starts: as a holder it would block startup for ever. Applies
        once a fetch failed after the startup limit; an unresponsive peer
        remains a holder.
        """
        candidate = self._candidates_by_revision_id.get(revision_id)
        if candidate is None or not candidate.unconfirmed or not event.answered:
            return
        candidate.holders.discard(event.source)

    def _drop_without_holders(self, revision_id: RevisionId) -> None:
        """Drop a candidate that has no holders left.

        The configuration service or a peer may offer it again.
        """
        candidate = self._candidates_by_revision_id.get(revision_id)
        if candidate is None:
            return
        candidate.holders &= {CONFIG_SERVICE, *self._data_centres_by_id}
        if not candidate.holders:
            del self._candidates_by_revision_id[revision_id]

    # Fetching.

    def _fetch_highest(self, now: float) -> list[Effect]:
        """Fetch the highest candidate, or its manifest if that is unknown."""
        ready = [
            revision_id
            for revision_id, candidate in self._candidates_by_revision_id.items()
            if candidate.retry_at <= now
        ]
        best = max(ready, default=NO_REVISION)
        if best == NO_REVISION or (self._fetching and self._fetching >= best):
            return []
        candidate = self._candidates_by_revision_id[best]
        if candidate.manifest is not None and candidate.can_be_fetched:
            self._fetching = best
            ranked = rendezvous.rank(self.id, sorted(candidate.peers))
            return [FetchRevision(candidate.manifest, (*ranked, CONFIG_SERVICE))]
        if self._pending_request is not None and self._pending_request[0] >= best:
            return []
        # The holder depends on the instance id, which spreads the requests.
        untried = sorted(candidate.peers - candidate.tried)
        holder = rendezvous.choose(self.id, untried)
        if holder is None:
            return []
        self._pending_request = (best, holder)
        return [RequestManifest(holder, best[0])]

    def _accept_fetched(self, manifest: TreeManifest) -> None:
        revision_id = (manifest.revision, manifest.digest)
        if self._fetching == revision_id:
            self._fetching = None
        if revision_id <= self.held or manifest.revision == self.held[0]:
            return
        self._validated = manifest
        self._candidates_by_revision_id = {
            other: candidate
            for other, candidate in self._candidates_by_revision_id.items()
            if other[0] > manifest.revision
        }

    def _handle_failure(self, event: RevisionFailed, now: float) -> list[Effect]:
        manifest = event.manifest
        revision_id = (manifest.revision, manifest.digest)
        if self._fetching == revision_id:
            self._fetching = None
        if event.invalid:
            self._candidates_by_revision_id.pop(revision_id, None)
            if len(self._rejected) >= MAX_REJECTED:
                del self._rejected[next(iter(self._rejected))]
            self._rejected[revision_id] = None
            return [ReportIgnored(COUNTER_INVALID, *revision_id, "")]
        candidate = self._candidates_by_revision_id.get(revision_id)
        if candidate is not None:
            candidate.unconfirmed = self.starting and self._is_startup_overdue(now)
            candidate.back_off(now)
            self._drop_without_holders(revision_id)
        return []

    # Putting in force.

    def _put_in_force(self) -> list[Effect]:
        if self._validated is None:
            return []
        manifest, self._validated = self._validated, None
        if manifest.revision <= self.in_force[0]:
            return []
        self.in_force = (manifest.revision, manifest.digest)
        return [PutInForce(manifest)]

    def _advance_startup(self, now: float) -> list[Effect]:
        """Request the peers' manifests; end startup once all are settled."""
        peers = [id for id in self._data_centres_by_id if id != self.id]
        requests = [
            self._startup_requests_by_peer.setdefault(id, StartupRequest())
            for id in peers
        ]
        effects: list[Effect] = []
        free_requests = MAX_STARTUP_REQUESTS - sum(
            request.waiting for request in requests
        )
        for id, request in zip(peers, requests, strict=True):
            if free_requests <= 0:
                break
            if request.waiting or request.done:
                continue
            if now - self.started_at < STARTUP_REQUEST_DELAYS_S[request.attempts]:
                continue
            request.attempts += 1
            request.waiting = True
            free_requests -= 1
            effects.append(RequestManifest(id, 0))
        if self._validated is not None and self._is_startup_complete(requests, now):
            self.starting = False
            self._startup_requests_by_peer.clear()
            effects += self._put_in_force()
        return effects

    def _is_startup_complete(self, requests: list[StartupRequest], now: float) -> bool:
        overdue = self._is_startup_overdue(now)
        for candidate in self._candidates_by_revision_id.values():
            # After the limit only a candidate with a manifest blocks startup:
            # one that was merely advertised may be lost with its holder.
            if candidate.peers and (candidate.manifest or not overdue):
                return False
        if overdue:
            return True
        peers_known = self._live_list_read and now - self.started_at >= MIN_STARTUP_S
        return peers_known and all(request.done for request in requests)

    def _is_startup_overdue(self, now: float) -> bool:
        return now - self.started_at >= MAX_STARTUP_S
