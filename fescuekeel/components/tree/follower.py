"""Which revision of the tree to fetch and when it is in force; pure."""

from dataclasses import dataclass, field

from fescuekeel.components.tree.const import (
    MAX_RETRY_S,
    MIN_POLL_S,
    PEERS_ASKED_AT_ONCE,
    POLLS_PER_S,
    RETRY_S,
    SETTLE_S,
    START_ASKS_S,
    START_BOUND_S,
    WATCHERS_PER_DATA_CENTRE,
)
from fescuekeel.components.tree.events import (
    SERVICE,
    AskManifest,
    Count,
    Effect,
    Event,
    FetchRevision,
    Heard,
    ManifestRead,
    MembersSeen,
    PutInForce,
    RevisionFailed,
    RevisionTaken,
    SetReading,
    Tick,
)
from fescuekeel.components.tree.revision import TreeManifest
from fescuekeel.util import rendezvous

__all__ = ["Follower"]

MAX_REFUSED = 256
MAX_DOUBLINGS = 8
COUNT_OLDER = "tree.ignored.older"
COUNT_CONFLICT = "tree.refused.conflict"
COUNT_INVALID = "refused.invalid_tree"

# A revision's number and its manifest's digest; the higher one wins.
Version = tuple[int, str]
NO_VERSION: Version = (0, "")


@dataclass(slots=True)
class Candidate:
    """A revision above the one held: who holds it, and its manifest.

    ``tried`` are holders that were asked for the manifest in vain. After a
    failure it waits until ``retry_at``, and a lower revision that can be had
    goes first: a manifest whose parts cannot be found must not keep all
    others out. A ``doubted`` one is not fetched before a peer that counts as
    its holder has shown the manifest again.
    """

    holders: set[str] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    manifest: TreeManifest | None = None
    doubted: bool = False
    failures: int = 0
    retry_at: float = 0.0

    @property
    def peers(self) -> set[str]:
        """Return the holders that are instances."""
        return self.holders - {SERVICE}

    @property
    def can_be_fetched(self) -> bool:
        """Tell whether its manifest is known and not in doubt."""
        return self.manifest is not None and not (self.doubted and self.peers)

    def back_off(self, now: float) -> None:
        """Wait longer after each failure."""
        doublings = min(self.failures, MAX_DOUBLINGS)
        self.retry_at = now + min(MAX_RETRY_S, RETRY_S * 2**doublings)
        self.failures += 1


@dataclass(slots=True)
class StartingPeer:
    """What came of asking one peer at the start."""

    asks: int = 0
    waiting: bool = False
    done: bool = False


class Follower:
    """Decide for one instance; times are monotonic seconds.

    A revision in force is only ever replaced by a higher one. Until this
    instance has asked its peers it puts none in force, so that a fresh one
    beside a stale service does not go back to what the others have left.
    """

    def __init__(self, id: str, data_centre: str, now: float) -> None:
        self.id = id
        self.data_centre = data_centre
        self.started = now
        self.starting = True
        self.in_force: Version = NO_VERSION
        self._taken: TreeManifest | None = None
        self._data_centres_by_id: dict[str, str] = {id: data_centre}
        self._listed = False
        self._candidates_by_version: dict[Version, Candidate] = {}
        self._refused: dict[Version, None] = {}
        self._starting_by_peer: dict[str, StartingPeer] = {}
        self._fetching: Version | None = None
        self._asking: tuple[Version, str] | None = None
        self._reading: SetReading | None = None

    @property
    def held(self) -> Version:
        """Return the highest revision that is whole and valid here."""
        if self._taken is None:
            return self.in_force
        return (self._taken.revision, self._taken.digest)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what to do."""
        effects: list[Effect] = []
        match event:
            case MembersSeen():
                self._data_centres_by_id = event.data_centres_by_id
                self._listed = event.listed
                effects += self._set_reading()
            case Heard():
                version = (event.revision, event.digest)
                effects += self._offer(version, event.holder, None)
            case ManifestRead():
                effects += self._read_manifest(event, now)
            case RevisionTaken():
                self._take(event.manifest)
            case RevisionFailed():
                effects += self._fail(event, now)
            case Tick():
                effects += self._set_reading()
        effects += self._pursue(now)
        if self.starting:
            effects += self._start(now)
        else:
            effects += self._put_in_force()
        return effects

    # The configuration service.

    def _set_reading(self) -> list[Effect]:
        """Choose how to read the service, and tell when it changes.

        A few instances of a data centre hold a watch. All others poll, the
        more slowly the more there are, so that calls grow with the number of
        data centres and not with that of instances.
        """
        near = [
            id
            for id, data_centre in self._data_centres_by_id.items()
            if data_centre == self.data_centre
        ]
        key = f"tree/{self.data_centre}"
        watchers = rendezvous.rank(key, near)[:WATCHERS_PER_DATA_CENTRE]
        poll_s = max(MIN_POLL_S, len(near) / POLLS_PER_S)
        reading = SetReading(self.id in watchers, poll_s)
        if reading == self._reading:
            return []
        self._reading = reading
        return [reading]

    # What others offer.

    def _offer(
        self, version: Version, source: str, manifest: TreeManifest | None
    ) -> list[Effect]:
        revision, digest = version
        if revision < self.held[0]:
            return [Count(COUNT_OLDER, revision, digest, source)]
        if revision == self.held[0]:
            if digest == self.held[1]:
                return []
            # Two trees were published under one number. Whichever came first
            # stays, since nothing says which one is newer.
            return [Count(COUNT_CONFLICT, revision, digest, source)]
        if version in self._refused:
            return []
        candidate = self._candidates_by_version.setdefault(version, Candidate())
        if source not in candidate.holders:
            candidate.holders.add(source)
            candidate.failures = 0
            candidate.retry_at = self.started
        if manifest is not None:
            candidate.manifest = manifest
            candidate.doubted = False
        return []

    def _read_manifest(self, event: ManifestRead, now: float) -> list[Effect]:
        peer = self._starting_by_peer.get(event.source)
        if peer is not None:
            peer.waiting = False
            peer.done = event.answered or peer.asks >= len(START_ASKS_S)
        manifest = event.manifest
        version = (manifest.revision, manifest.digest) if manifest else NO_VERSION
        if self._asking is not None and self._asking[1] == event.source:
            asked, self._asking = self._asking[0], None
            if version < asked:
                self._drop_if_replaced(asked, event)
                self._try_another(asked, event.source, now)
        if manifest is None:
            return []
        return self._offer(version, event.source, manifest)

    def _try_another(self, version: Version, holder: str, now: float) -> None:
        candidate = self._candidates_by_version.get(version)
        if candidate is None:
            return
        candidate.tried.add(holder)
        if candidate.tried >= candidate.peers:
            # Who told of a revision may still be fetching it.
            candidate.tried.clear()
            candidate.back_off(now)
        self._drop_if_lost(version)

    def _drop_if_replaced(self, version: Version, event: ManifestRead) -> None:
        """Forget a holder that has shown a revision and no longer has it.

        Guards against a peer that is replaced under its id beside a stale
        service, while this instance starts: the peer would count as a holder
        for ever, and nothing would come in force here. It shows as a fetch
        that fails after the bound of the start. Until it has shown a lower
        one itself, a peer that is merely silent counts.
        """
        candidate = self._candidates_by_version.get(version)
        if candidate is None or not candidate.doubted or not event.answered:
            return
        candidate.holders.discard(event.source)

    def _drop_if_lost(self, version: Version) -> None:
        """Forget a revision whose holders are all gone.

        The service may bring it back, or another instance may tell of it.
        """
        candidate = self._candidates_by_version.get(version)
        if candidate is None:
            return
        candidate.holders &= {SERVICE, *self._data_centres_by_id}
        if not candidate.holders:
            del self._candidates_by_version[version]

    # Fetching.

    def _pursue(self, now: float) -> list[Effect]:
        """Fetch the highest revision on offer, or its manifest first."""
        ready = [
            version
            for version, candidate in self._candidates_by_version.items()
            if candidate.retry_at <= now
        ]
        best = max(ready, default=NO_VERSION)
        if best == NO_VERSION or (self._fetching and self._fetching >= best):
            return []
        candidate = self._candidates_by_version[best]
        if candidate.manifest is not None and candidate.can_be_fetched:
            self._fetching = best
            ranked = rendezvous.rank(self.id, sorted(candidate.peers))
            return [FetchRevision(candidate.manifest, (*ranked, SERVICE))]
        if self._asking is not None and self._asking[0] >= best:
            return []
        # Each instance asks another holder, so that the first one to hold a
        # revision is not asked by all.
        untried = sorted(candidate.peers - candidate.tried)
        holder = rendezvous.choose(self.id, untried)
        if holder is None:
            return []
        self._asking = (best, holder)
        return [AskManifest(holder, best[0])]

    def _take(self, manifest: TreeManifest) -> None:
        version = (manifest.revision, manifest.digest)
        if self._fetching == version:
            self._fetching = None
        if version <= self.held or manifest.revision == self.held[0]:
            return
        self._taken = manifest
        self._candidates_by_version = {
            other: candidate
            for other, candidate in self._candidates_by_version.items()
            if other[0] > manifest.revision
        }

    def _fail(self, event: RevisionFailed, now: float) -> list[Effect]:
        manifest = event.manifest
        version = (manifest.revision, manifest.digest)
        if self._fetching == version:
            self._fetching = None
        if event.invalid:
            self._candidates_by_version.pop(version, None)
            if len(self._refused) >= MAX_REFUSED:
                del self._refused[next(iter(self._refused))]
            self._refused[version] = None
            return [Count(COUNT_INVALID, *version, "")]
        candidate = self._candidates_by_version.get(version)
        if candidate is not None:
            candidate.doubted = self.starting and self._is_late(now)
            candidate.back_off(now)
            self._drop_if_lost(version)
        return []

    # Putting in force.

    def _put_in_force(self) -> list[Effect]:
        if self._taken is None:
            return []
        manifest, self._taken = self._taken, None
        if manifest.revision <= self.in_force[0]:
            return []
        self.in_force = (manifest.revision, manifest.digest)
        return [PutInForce(manifest)]

    def _start(self, now: float) -> list[Effect]:
        """Ask the peers, and end the start when all that can have answered."""
        peers = [id for id in self._data_centres_by_id if id != self.id]
        states = [self._starting_by_peer.setdefault(id, StartingPeer()) for id in peers]
        effects: list[Effect] = []
        room = PEERS_ASKED_AT_ONCE - sum(state.waiting for state in states)
        for id, state in zip(peers, states, strict=True):
            if room <= 0:
                break
            if state.waiting or state.done:
                continue
            if now - self.started < START_ASKS_S[state.asks]:
                continue
            state.asks += 1
            state.waiting = True
            room -= 1
            effects.append(AskManifest(id, 0))
        if self._taken is not None and self._is_settled(states, now):
            self.starting = False
            self._starting_by_peer.clear()
            effects += self._put_in_force()
        return effects

    def _is_settled(self, states: list[StartingPeer], now: float) -> bool:
        late = self._is_late(now)
        for candidate in self._candidates_by_version.values():
            # In the end only a peer that has shown the manifest counts: a
            # revision that was merely heard of may be gone with its holder.
            if candidate.peers and (candidate.manifest or not late):
                return False
        if late:
            return True
        known = self._listed and now - self.started >= SETTLE_S
        return known and all(state.done for state in states)

    def _is_late(self, now: float) -> bool:
        return now - self.started >= START_BOUND_S
