"""The published endpoints whose weights are ordered here; pure."""

from dataclasses import dataclass, field

from fescuekeel.helpers.published import Catalog, EndpointRecord

__all__ = ["EngineTable"]


@dataclass(slots=True)
class EngineTable:
    """Pick the engines out of the catalog, once for each catalog.

    The tables stay the same objects until a new catalog comes, so that others
    can tell by that whether anything may have changed.

    >>> table = EngineTable()
    >>> table.take(None)
    >>> table.records_by_id
    {}
    """

    records_by_id: dict[str, EndpointRecord] = field(default_factory=dict)
    records_by_name: dict[str, EndpointRecord] = field(default_factory=dict)
    _catalog: Catalog | None = None

    def take(self, catalog: Catalog | None) -> None:
        """Take the catalog in force."""
        if catalog is self._catalog:
            return
        self._catalog = catalog
        self.records_by_id = _list_engines(catalog)
        self.records_by_name = {
            record.name: record for record in self.records_by_id.values()
        }


def _list_engines(catalog: Catalog | None) -> dict[str, EndpointRecord]:
    if catalog is None or catalog.configuration is None:
        return {}
    services = catalog.configuration.services_by_name
    return {
        id: record
        for id, record in catalog.endpoints_by_id.items()
        if record.service in services and services[record.service].engine
    }
