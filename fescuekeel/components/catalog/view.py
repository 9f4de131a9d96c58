"""Builds the catalog from published items, leaving out malformed ones."""

from collections.abc import Collection
from dataclasses import dataclass, field, replace

from fescuekeel.components.catalog.const import (
    LAPSE_GRACE_S,
    MAX_KNOWN_STARTS,
    RENEWAL_S,
)
from fescuekeel.helpers.dialect import AdapterVersion, Dialect
from fescuekeel.helpers.incarnation import UNKNOWN_BORN_MS
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import (
    BEGINNING,
    Catalog,
    Configuration,
    EndpointRecord,
    Position,
    PublishedItem,
    Weights,
)

__all__ = ["CatalogView"]

MS_PER_S = 1000


@dataclass(slots=True)
class CatalogView:
    """Decode items, and hold the configuration and endpoints in force.

    A configuration is applied as a whole, and never one that is older than
    the current one. The same holds for incarnations of an endpoint, and one
    that leaves never comes back: values that order themselves are applied in
    their own order, whatever the store says first.
    """

    dialect: Dialect
    configuration: Configuration | None = None
    endpoints_by_name: dict[str, EndpointRecord] = field(default_factory=dict)
    versions_by_weights: dict[Weights, int] = field(default_factory=dict)
    _names_by_key: dict[str, str] = field(default_factory=dict)
    _born_ms_by_name: dict[str, int] = field(default_factory=dict)
    # How old what is known may be as an item is applied, for logs.
    known_age_s: float = 0.0
    _lapsed_at_by_name: dict[str, float] = field(default_factory=dict)
    _missing_since_by_name: dict[str, float] = field(default_factory=dict)
    _removal_positions_by_name: dict[str, Position] = field(default_factory=dict)

    def apply(self, item: PublishedItem, grace: bool, now: float) -> None:
        """Apply an item that changed.

        With ``grace`` an endpoint whose entry was removed is kept for
        ``LAPSE_GRACE_S`` at least: the entry may have expired in a store
        outage.
        """
        if item.value is None:
            self._remove(item, grace, now)
            return
        try:
            decoded = self.dialect.decode(item)
        except Exception as error:
            # Whatever a decoder raises, the items after this one are applied.
            log_event(
                "published_item_refused",
                key=item.key,
                revision=item.position,
                error=str(error).replace("\n", "; ")[:300],
            )
            self._drop_replaced(item)
            return
        match decoded:
            case Configuration():
                self._apply_configuration(decoded, item.position)
            case EndpointRecord():
                self._apply_endpoint(decoded, item)
            case AdapterVersion(weights, version):
                known = self.versions_by_weights.get(weights, 0)
                self.versions_by_weights[weights] = max(known, version)

    def apply_copied(self, item: PublishedItem, now: float) -> None:
        """Apply an item that may be of an older copy of the store.

        It only counts for what no copy can take back: a newer version, a newer
        incarnation, or that an endpoint leaves.
        """
        if item.value is None:
            return
        name = self._names_by_key.get(item.key)
        known = self.endpoints_by_name.get(name) if name is not None else None
        try:
            decoded = self.dialect.decode(item)
        except Exception:
            # Logged once the item is believed.
            return
        if isinstance(decoded, EndpointRecord):
            newer = known is not None and decoded.born_ms > known.born_ms
            leaves = known is not None and decoded.leaving and decoded.id == known.id
            if not newer and not leaves:
                return
        self.apply(item, False, now)

    def _apply_configuration(
        self, configuration: Configuration, position: Position
    ) -> None:
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        log_event(
            "configuration_in_force",
            version=configuration.version,
            before=known.version if known else 0,
            routes=len(configuration.routes),
            revision=position,
        )

    def _apply_endpoint(self, record: EndpointRecord, item: PublishedItem) -> None:
        """Apply an endpoint's entry, unless it is of an earlier incarnation.

        Guards against a late entry from before a restart: it lists weights
        that the endpoint no longer holds.
        """
        name = record.name
        if record.born_ms < self._born_ms_by_name.get(name, UNKNOWN_BORN_MS):
            log_event(
                "stale_incarnation_dropped",
                endpoint=record.id,
                source="entry",
                born_ms=record.born_ms,
                newest_born_ms=self._born_ms_by_name[name],
                revision=item.position,
            )
            return
        self._names_by_key[item.key] = name
        self._record_born_ms(name, record.born_ms)
        self._lapsed_at_by_name.pop(name, None)
        self._missing_since_by_name.pop(name, None)
        known = self.endpoints_by_name.get(name)
        if known is not None and known.leaving and known.id == record.id:
            record = replace(record, leaving=True)
        self.endpoints_by_name[name] = record
        if known is None or (known.id, known.leaving) != (record.id, record.leaving):
            state = "leaving" if record.leaving else "ready"
            self._log_endpoint(record.id, state, item.position)

    def _record_born_ms(self, name: str, born_ms: int) -> None:
        if born_ms == UNKNOWN_BORN_MS:
            return
        self._born_ms_by_name.pop(name, None)
        self._born_ms_by_name[name] = born_ms
        if len(self._born_ms_by_name) > MAX_KNOWN_STARTS:
            del self._born_ms_by_name[next(iter(self._born_ms_by_name))]

    def _drop_replaced(self, item: PublishedItem) -> None:
        """Remove an endpoint whose entry was replaced by a malformed one."""
        name = self._names_by_key.get(item.key)
        if name is not None:
            self._drop_endpoint(name, item.position)

    def _remove(self, item: PublishedItem, grace: bool, now: float) -> None:
        name = self._names_by_key.get(item.key)
        known = self.endpoints_by_name.get(name) if name is not None else None
        if name is None or known is None:
            return
        if grace:
            self._lapsed_at_by_name[name] = now
            self._missing_since_by_name.setdefault(name, now)
            self._removal_positions_by_name[name] = item.position
            self._log_endpoint(known.id, "lapsing", item.position)
            return
        self._drop_endpoint(name, item.position)

    def _drop_endpoint(self, name: str, position: Position) -> None:
        self._lapsed_at_by_name.pop(name, None)
        self._missing_since_by_name.pop(name, None)
        record = self.endpoints_by_name.pop(name, None)
        if record is not None:
            self._log_endpoint(record.id, "gone", position)

    def _log_endpoint(self, id: str, state: str, position: Position) -> None:
        log_event(
            "endpoint_changed",
            endpoint=id,
            state=state,
            revision=position,
            known_age_ms=round(self.known_age_s * MS_PER_S),
        )

    @property
    def has_lapsing(self) -> bool:
        """Return whether any endpoint is in its grace period."""
        return bool(self._lapsed_at_by_name)

    def renew_grace(self, now: float) -> None:
        """Begin all grace periods again, since entries were lost again."""
        for name in self._lapsed_at_by_name:
            self._lapsed_at_by_name[name] = now

    def expire(self, now: float, known_until: float) -> bool:
        """Remove endpoints whose grace period is over; return whether any.

        ``known_until`` is up to when all changes are known. An entry that was
        written again since is not known to be missing.
        """
        expired = [
            name
            for name, lapsed_at in self._lapsed_at_by_name.items()
            if now - lapsed_at >= LAPSE_GRACE_S and known_until - lapsed_at >= RENEWAL_S
        ]
        for name in expired:
            self._drop_endpoint(
                name, self._removal_positions_by_name.pop(name, BEGINNING)
            )
        return bool(expired)

    def make_catalog(
        self, position: Position, leaving: Collection[str] = ()
    ) -> Catalog:
        """Return the catalog that other components use.

        Endpoints in ``leaving`` have said in an answer that they leave; what
        the store says of them may be older.

        If any endpoint has a start time, entries without one are left out:
        they come from another writer.
        """
        records = self.endpoints_by_name.values()
        start_times_known = any(record.born_ms != UNKNOWN_BORN_MS for record in records)
        leaving_ids = frozenset(
            record.id for record in records if record.leaving or record.id in leaving
        )
        ready = {
            record.id: record
            for record in records
            if record.id not in leaving_ids
            and (record.born_ms != UNKNOWN_BORN_MS or not start_times_known)
        }
        return Catalog(
            position,
            self.configuration,
            ready,
            dict(self.versions_by_weights),
            leaving_ids,
            {
                id: self._missing_since_by_name[record.name]
                for id, record in ready.items()
                if record.name in self._missing_since_by_name
            },
        )
