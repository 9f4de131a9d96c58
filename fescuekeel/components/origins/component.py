"""Report the origins of streams to their homes, and query them."""

import asyncio
import itertools
import math
from dataclasses import dataclass

from fescuekeel.components.catalog import PeerAges
from fescuekeel.components.origins.const import (
    ASK_ROUNDS,
    ASK_TIMEOUT_S,
    DOMAIN,
    EXPIRY_PERIOD_S,
    HISTORY_PEERS,
    HISTORY_RETRY_MAX_S,
    HISTORY_RETRY_S,
    HISTORY_S,
    MAX_HISTORY_VERSIONS,
    MAX_ID_CHARS,
    MAX_MESSAGE_RECORDS,
    MAX_OWN_STREAMS,
    MAX_REMEMBERED_S,
    MIN_HISTORY_GAIN_S,
    MIN_HORIZON_S,
    REMEMBERED_S,
    REPORT_AGE_S,
    ROUND_PAUSE_S,
)
from fescuekeel.components.origins.history import (
    VersionHistory,
    choose_history,
    encode_history,
    read_history,
)
from fescuekeel.components.origins.homes import list_asked, list_homes
from fescuekeel.components.origins.ledger import (
    AMBIGUOUS,
    OriginLedger,
    StreamOrigin,
)
from fescuekeel.components.origins.lookup import OriginReport, decide
from fescuekeel.components.origins.report_reader import read_report
from fescuekeel.components.origins.running import choose_endpoints, find_origins
from fescuekeel.components.origins.versions import SoftwareVersions, VersionSpan
from fescuekeel.core import Instance
from fescuekeel.helpers.catalog_link import get_catalog_link
from fescuekeel.helpers.dialect import get_dialect
from fescuekeel.helpers.freshness import Freshness
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import Catalog, EndpointRecord
from fescuekeel.helpers.ticks import sleep_to_tick
from fescuekeel.messages import (
    MemberView,
    PeerMessage,
    StreamOriginAnswer,
    StreamOriginAsk,
    StreamOriginNews,
    StreamOriginRecord,
)
from fescuekeel.util import rendezvous

__all__ = ["Origins"]

MS_PER_S = 1000


@dataclass(slots=True)
class OwnStream:
    """A stream served here, and the homes it was reported to.

    A home that has started again has forgotten it, so that homes are known by
    their incarnation.
    """

    origin: StreamOrigin
    until: float
    notified: frozenset[tuple[str, int]] = frozenset()


class Origins:
    """Store origins of streams as one of their homes, and look others up."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._ledger = OriginLedger()
        self._versions = SoftwareVersions()
        self._own_by_id: dict[str, OwnStream] = {}
        self._data_centres_by_id: dict[str, str] = {}
        self._incarnations_by_id: dict[str, int] = {}
        self._has_read_runs = False

    async def start(self) -> None:
        """Subscribe to updates and to peers' messages."""
        bus = self._instance.bus
        bus.subscribe_peer(StreamOriginNews, self._handle_news)
        bus.subscribe_peer(StreamOriginAsk, self._handle_ask)
        bus.subscribe(Catalog, self._handle_catalog)
        bus.subscribe(MemberView, self._handle_members)
        self._instance.metrics.add_gauge(
            "origins_known", lambda: {"": float(len(self._ledger))}
        )
        self._instance.metrics.add_gauge(
            "origins_watched_s",
            lambda: {"": self._versions.get_watched_s(self._instance.now())},
        )
        self._instance.keep_running(self._expire_forever, f"{DOMAIN}.expire")
        self._instance.keep_running(self._learn_history, f"{DOMAIN}.history")

    async def stop(self) -> None:
        """Do nothing: the instance cancels the tasks."""

    # Streams that are served here.

    def record_begun(self, id: str, origin: StreamOrigin, time_left_s: float) -> None:
        """Store the origin of a stream before its first event is sent.

        Its homes are notified only if another version may serve: otherwise
        each instance can infer from the endpoints what began it.
        """
        if not id or len(id) > MAX_ID_CHARS:
            return
        now = self._instance.now()
        until = now + min(MAX_REMEMBERED_S, time_left_s + REMEMBERED_S)
        self._own_by_id.pop(id, None)
        if len(self._own_by_id) >= MAX_OWN_STREAMS:
            del self._own_by_id[next(iter(self._own_by_id))]
        self._own_by_id[id] = OwnStream(origin, until)
        if not self._has_one_version(origin.service):
            self._report_to_homes([id])

    def record_ended(self, id: str) -> None:
        """Remove a stream that has been sent completely."""
        self._own_by_id.pop(id, None)

    def _has_one_version(self, service: str) -> bool:
        """Return whether all streams of a service have the same origin."""
        now = self._instance.now()
        if self._freshness.read_apparent_age_s(now) > REPORT_AGE_S:
            return False
        if self._versions.get_watched_s(now) < MIN_HORIZON_S:
            return False
        return len(self._versions.list_seen(service, now - MIN_HORIZON_S)) == 1

    def _report_to_homes(self, ids: list[str]) -> None:
        """Report streams to those of their homes that do not know them yet."""
        now = self._instance.now()
        records_by_home: dict[str, list[StreamOriginRecord]] = {}
        for id in ids:
            own = self._own_by_id[id]
            homes = list_homes(id, self._data_centres_by_id)
            lasts_ms = int(max(0.0, own.until - now) * MS_PER_S)
            record = StreamOriginRecord(
                id, own.origin.service, own.origin.software, lasts_ms
            )
            for home in homes:
                if (home, self._incarnations_by_id[home]) not in own.notified:
                    records_by_home.setdefault(home, []).append(record)
            own.notified |= {(home, self._incarnations_by_id[home]) for home in homes}
        link = get_peer_link(self._instance)
        for home, records in records_by_home.items():
            self._instance.metrics.count("origins.told", len(records))
            if home == self._instance.id:
                self._remember(records)
                continue
            for start in range(0, len(records), MAX_MESSAGE_RECORDS):
                part = records[start : start + MAX_MESSAGE_RECORDS]
                link.send(home, StreamOriginNews(tuple(part)))

    # Streams of any instance.

    async def find(
        self, request_id: str, stream: str, service: str, longest_s: float
    ) -> StreamOrigin | None:
        """Return the origin of a stream, ``None`` if it cannot be determined.

        ``stream`` is the id that the caller names, ``service`` the one that
        would serve it, and ``longest_s`` how long its caller may have waited.
        """
        asked_at = self._instance.now()
        horizon_s = max(MIN_HORIZON_S, 2 * longest_s)
        stream = stream[:MAX_ID_CHARS]
        found: StreamOrigin | None = None
        answers: list[OriginReport] = []
        is_confirmed = False
        for number in range(ASK_ROUNDS):
            if number:
                await asyncio.sleep(ROUND_PAUSE_S)
            answers = await self._ask_homes(stream, service, horizon_s)
            is_confirmed = await self._confirm_if_unknown(stream, answers, asked_at)
            own = self._make_report(stream, service, horizon_s)
            found = decide(service, own, answers, horizon_s, is_confirmed)
            if found is not None:
                break
        outcome = "unknown" if found is None else "known"
        self._instance.metrics.count(f"origins.{outcome}")
        log_event(
            "stream_origin_sought",
            request_id=request_id,
            resumes=stream,
            service=found.service if found else service,
            software=found.software if found else "",
            answers=len(answers),
            confirmed=is_confirmed,
            age_ms=round((self._instance.now() - asked_at) * MS_PER_S),
            outcome=outcome,
        )
        return found

    async def _confirm_if_unknown(
        self, stream: str, answers: list[OriginReport], until: float
    ) -> bool:
        """Bring the catalog up to date if no instance knows a stream."""
        own = self._make_report(stream, "", 0.0)
        if any(report.origin is not None for report in (own, *answers)):
            return False
        return await get_catalog_link(self._instance).confirm(until)

    def was_serving(self, origin: StreamOrigin, within_s: float) -> bool:
        """Return whether an endpoint of a version has served recently."""
        since = self._instance.now() - within_s
        return origin.software in self._versions.list_seen(origin.service, since)

    def may_have_several(self, service: str, within_s: float) -> bool:
        """Return whether several versions may have served within a time.

        An instance that has started since then does not know.
        """
        now = self._instance.now()
        if self._versions.get_watched_s(now) < within_s:
            return True
        return len(self._versions.list_seen(service, now - within_s)) > 1

    async def _ask_homes(
        self, stream: str, service: str, horizon_s: float
    ) -> list[OriginReport]:
        """Query all homes at once; stop at the first with a record."""
        if self._make_report(stream, service, horizon_s).origin is not None:
            return []
        asked = {*list_asked(stream, self._data_centres_by_id), *self._list_fresh()}
        asked.discard(self._instance.id)
        ask = StreamOriginAsk(stream, service, int(horizon_s * MS_PER_S))
        pending = {asyncio.ensure_future(self._ask(id, ask)) for id in asked}
        reports: list[OriginReport] = []
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                answered = [task.result() for task in done]
                reports += [report for report in answered if report is not None]
                if any(report.origin is not None for report in reports):
                    break
        finally:
            for task in pending:
                task.cancel()
        return reports

    async def _ask(self, home: str, ask: StreamOriginAsk) -> OriginReport | None:
        link = get_peer_link(self._instance)
        answer = (await link.ask(home, ask, ASK_TIMEOUT_S)).value_or(None)
        if not isinstance(answer, StreamOriginAnswer):
            return None
        origin = None
        if answer.known:
            origin = StreamOrigin(answer.service, answer.software)
        return OriginReport(
            origin,
            frozenset(answer.seen),
            answer.watched_ms / MS_PER_S,
            answer.catalog_age_ms / MS_PER_S,
        )

    def _list_fresh(self) -> list[str]:
        """Return a peer whose catalog is fresher than this instance's."""
        now = self._instance.now()
        ages = self._instance.bus.latest(PeerAges) or PeerAges()
        peer = ages.choose(self._freshness.read_age_s(now), now)
        return [] if peer is None else [peer]

    @property
    def _freshness(self) -> Freshness:
        return self._instance.bus.latest(Freshness) or Freshness()

    def _make_report(self, stream: str, service: str, horizon_s: float) -> OriginReport:
        """Return this instance's own report."""
        now = self._instance.now()
        own = self._own_by_id.get(stream)
        origin = self._ledger.find(stream, now)
        if own is not None and now < own.until:
            origin = own.origin if origin in (None, own.origin) else AMBIGUOUS
        seen = self._versions.list_seen(service, now - horizon_s)
        watched_s = self._versions.get_watched_s(now)
        age_s = self._freshness.read_age_s(now)
        return OriginReport(origin, frozenset(seen), watched_s, age_s)

    # This instance as a home.

    def _remember(self, records: list[StreamOriginRecord]) -> None:
        now = self._instance.now()
        for record in records:
            if len(record.stream) > MAX_ID_CHARS:
                continue
            lasts_s = min(MAX_REMEMBERED_S, record.lasts_ms / MS_PER_S)
            origin = StreamOrigin(record.service, record.software)
            self._ledger.record(record.stream, origin, now + lasts_s, now)

    def _handle_news(self, message: PeerMessage) -> None:
        assert isinstance(message.body, StreamOriginNews)
        self._remember(list(message.body.records))

    def _handle_ask(self, message: PeerMessage) -> None:
        assert isinstance(message.body, StreamOriginAsk)
        body = message.body
        if body.with_history:
            self._instance.spawn(self._tell_history(message), f"{DOMAIN}.tell")
            return
        report = self._make_report(
            body.stream, body.service, body.horizon_ms / MS_PER_S
        )
        origin = report.origin or StreamOrigin("", "")
        answer = StreamOriginAnswer(
            report.origin is not None,
            origin.service,
            origin.software,
            tuple(sorted(report.seen)),
            int(report.watched_s * MS_PER_S),
            int(report.age_s * MS_PER_S),
        )
        get_peer_link(self._instance).answer(message, answer)

    # What served before an instance started.

    async def _tell_history(self, message: PeerMessage) -> None:
        """Tell a peer that has just started what this instance has seen.

        Its own watch began before it asked, so that a catalog as of now leaves
        no gap.
        """
        assert isinstance(message.body, StreamOriginAsk)
        now = self._instance.now()
        gained_s = self._versions.get_watched_s(now)
        gained_s -= message.body.watched_ms / MS_PER_S
        history: list[VersionSpan] = []
        if gained_s >= MIN_HISTORY_GAIN_S:
            await get_catalog_link(self._instance).confirm(now)
            now = self._instance.now()
            history = self._versions.list_history(now, HISTORY_S)
        if len(history) > MAX_HISTORY_VERSIONS:
            history = []
        answer = StreamOriginAnswer(
            False,
            watched_ms=int(self._versions.get_watched_s(now) * MS_PER_S),
            catalog_age_ms=math.ceil(self._freshness.read_age_s(now) * MS_PER_S),
            history=encode_history(history),
        )
        get_peer_link(self._instance).answer(message, answer)

    async def _learn_history(self) -> None:
        """Ask peers until one has told, or the own watch is enough."""
        pause_s = HISTORY_RETRY_S
        for number in itertools.count():
            now = self._instance.now()
            if self._versions.get_watched_s(now) >= MIN_HORIZON_S:
                break
            if self._versions.watched_since is not None:
                await self.learn_history_once(number)
                pause_s = min(2 * pause_s, HISTORY_RETRY_MAX_S)
            await asyncio.sleep(pause_s)
        # Work of a component has no end while the instance runs.
        await asyncio.Event().wait()

    async def learn_history_once(self, number: int = 0) -> None:
        """Ask a few peers, others each time, and join what they have seen."""
        asked_at = self._instance.now()
        watched_s = self._versions.get_watched_s(asked_at)
        others = self._data_centres_by_id.keys() - {self._instance.id}
        peers = rendezvous.rank(f"{self._instance.id}/{number}", others)
        ask = StreamOriginAsk(
            "", "", int(HISTORY_S * MS_PER_S), True, int(watched_s * MS_PER_S)
        )
        answers = await asyncio.gather(
            *(self._ask_history(peer, ask) for peer in peers[:HISTORY_PEERS])
        )
        told = [answer for answer in answers if answer is not None]
        chosen = choose_history(told, watched_s)
        if chosen is None:
            return
        now = self._instance.now()
        self._versions.extend(chosen.watched_s, chosen.spans, now)
        log_event(
            "versions_learned",
            peer=chosen.peer,
            watched_s=round(watched_s, 3),
            told_s=round(chosen.watched_s, 3),
            age_ms=round(chosen.age_s * MS_PER_S),
            versions=len(chosen.spans),
            outcome="joined",
        )

    async def _ask_history(
        self, peer: str, ask: StreamOriginAsk
    ) -> VersionHistory | None:
        link = get_peer_link(self._instance)
        answer = (await link.ask(peer, ask, ASK_TIMEOUT_S)).value_or(None)
        if not isinstance(answer, StreamOriginAnswer):
            return None
        return read_history(peer, answer)

    # Streams that endpoints run when this instance starts.

    async def _read_runs(self, records: list[EndpointRecord]) -> None:
        """Store the origins of what endpoints run.

        Guards against streams that no instance knows, since all of them lost
        their power at once.
        """
        dialect = get_dialect(self._instance.settings.platform)
        self._instance.metrics.count("origins.reports", len(records))
        calls = [read_report(dialect, record) for record in records]
        reports = await asyncio.gather(*calls)
        answered = [
            (record, report)
            for record, report in zip(records, reports, strict=True)
            if report is not None
        ]
        origins_by_id = find_origins(answered)
        until = self._instance.now() + MIN_HORIZON_S
        for id, origin in list(origins_by_id.items())[:MAX_OWN_STREAMS]:
            if len(id) <= MAX_ID_CHARS and id not in self._own_by_id:
                self._own_by_id[id] = OwnStream(origin, until)
        self._report_unreported()
        log_event(
            "runs_read",
            endpoints=len(records),
            answered=len(answered),
            runs=len(origins_by_id),
        )

    # Updates from other components.

    def _handle_catalog(self, catalog: Catalog) -> None:
        self._versions.update(catalog.endpoints_by_id.values(), self._instance.now())
        self._report_unreported()
        engines = [each for each in catalog.endpoints_by_id.values() if each.held]
        if engines and not self._has_read_runs:
            self._has_read_runs = True
            chosen = choose_endpoints(self._instance.id, engines)
            self._instance.spawn(self._read_runs(chosen), f"{DOMAIN}.read")

    def _handle_members(self, view: MemberView) -> None:
        members = view.members_by_id
        self._data_centres_by_id = {
            id: member.data_centre for id, member in members.items()
        }
        self._incarnations_by_id = {
            id: member.incarnation for id, member in members.items()
        }
        self._report_needed(list(self._own_by_id))

    def _report_unreported(self) -> None:
        self._report_needed(
            [id for id, own in self._own_by_id.items() if not own.notified]
        )

    def _report_needed(self, ids: list[str]) -> None:
        """Report those streams with which another version could go on.

        Guards against a stream that no instance knows because a version was
        released while it ran, or because its homes have ended.
        """
        now = self._instance.now()
        needed = [
            id
            for id in ids
            if now < self._own_by_id[id].until
            and not self._has_one_version(self._own_by_id[id].origin.service)
        ]
        self._report_to_homes(needed)

    async def _expire_forever(self) -> None:
        while True:
            await sleep_to_tick(EXPIRY_PERIOD_S)
            now = self._instance.now()
            self._ledger.expire(now)
            for id, own in list(self._own_by_id.items()):
                if now >= own.until:
                    del self._own_by_id[id]
            self._report_unreported()
