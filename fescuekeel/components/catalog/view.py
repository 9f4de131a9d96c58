"""Compose the catalog from items; what is malformed never gets in."""

from dataclasses import dataclass, field

from fescuekeel.components.catalog.const import LAPSE_GRACE_S
from fescuekeel.helpers.dialect import AdapterVersion, Dialect
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import (
    Catalog,
    Configuration,
    EndpointRecord,
    PublishedItem,
    Weights,
)

__all__ = ["CatalogView"]


@dataclass(slots=True)
class CatalogView:
    """Decode each item once and hold what is in force.

    A configuration is taken whole or not at all, and never an older one after
    a newer one.
    """

    dialect: Dialect
    configuration: Configuration | None = None
    endpoints_by_id: dict[str, EndpointRecord] = field(default_factory=dict)
    versions_by_weights: dict[Weights, int] = field(default_factory=dict)
    _ids_by_key: dict[str, str] = field(default_factory=dict)
    _lapsing_until_by_id: dict[str, float] = field(default_factory=dict)
    _removed_at_by_id: dict[str, int] = field(default_factory=dict)

    def take(self, item: PublishedItem, grace: bool, now: float) -> None:
        """Take an item that changed.

        ``grace`` keeps an endpoint whose entry is gone a little longer: it
        may have lapsed while the store was away, and come back.
        """
        if item.value is None:
            self._remove(item, grace, now)
            return
        try:
            decoded = self.dialect.decode(item)
        except ValueError as error:
            # pydantic's and orjson's errors are ValueErrors, too.
            log_event(
                "published_item_refused",
                key=item.key,
                revision=item.revision,
                error=str(error).replace("\n", "; ")[:300],
            )
            return
        match decoded:
            case Configuration():
                self._take_configuration(decoded, item.revision)
            case EndpointRecord():
                self._ids_by_key[item.key] = decoded.id
                self._lapsing_until_by_id.pop(decoded.id, None)
                self._take_endpoint(decoded, item.revision)
            case AdapterVersion(weights, version):
                known = self.versions_by_weights.get(weights, 0)
                self.versions_by_weights[weights] = max(known, version)

    def _take_configuration(self, configuration: Configuration, revision: int) -> None:
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        log_event(
            "configuration_in_force",
            version=configuration.version,
            before=known.version if known else 0,
            routes=len(configuration.routes),
            revision=revision,
        )

    def _take_endpoint(self, record: EndpointRecord, revision: int) -> None:
        known = self.endpoints_by_id.get(record.id)
        self.endpoints_by_id[record.id] = record
        if known is None or known.leaving != record.leaving:
            state = "leaving" if record.leaving else "ready"
            _log_endpoint(record.id, state, revision)

    def _remove(self, item: PublishedItem, grace: bool, now: float) -> None:
        id = self._ids_by_key.get(item.key)
        if id is None:
            return
        if grace:
            self._lapsing_until_by_id[id] = now + LAPSE_GRACE_S
            self._removed_at_by_id[id] = item.revision
            _log_endpoint(id, "lapsing", item.revision)
            return
        self._forget(id, item.revision)

    def _forget(self, id: str, revision: int) -> None:
        self._lapsing_until_by_id.pop(id, None)
        if self.endpoints_by_id.pop(id, None) is not None:
            _log_endpoint(id, "gone", revision)

    def expire(self, now: float) -> bool:
        """Forget endpoints whose grace is over; return whether any was."""
        over = [id for id, until in self._lapsing_until_by_id.items() if now >= until]
        for id in over:
            self._forget(id, self._removed_at_by_id.pop(id, 0))
        return bool(over)

    def make_catalog(self, revision: int) -> Catalog:
        """Return what other components see."""
        ready = {
            id: record
            for id, record in self.endpoints_by_id.items()
            if not record.leaving
        }
        return Catalog(
            revision, self.configuration, ready, dict(self.versions_by_weights)
        )


def _log_endpoint(id: str, state: str, revision: int) -> None:
    log_event("endpoint_changed", endpoint=id, state=state, revision=revision)
