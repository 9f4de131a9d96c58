"""The endpoints that placement manages; pure."""

from dataclasses import dataclass, field

from fescuekeel.helpers.published import Catalog, EndpointRecord

__all__ = ["EngineTable"]


@dataclass(slots=True)
class EngineTable:
    """Index the engines of the catalog.

    The tables are replaced only with the catalog, so that callers can detect
    changes by identity.

    >>> table = EngineTable()
    >>> table.update(None)
    >>> table.records_by_id
    {}
    """

    records_by_id: dict[str, EndpointRecord] = field(default_factory=dict)
    records_by_name: dict[str, EndpointRecord] = field(default_factory=dict)
    _catalog: Catalog | None = None

    def update(self, catalog: Catalog | None) -> None:
        """Rebuild the tables if the catalog has changed."""
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
