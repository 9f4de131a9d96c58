"""The interface of the catalog to other components."""

from typing import Protocol, cast

from fescuekeel.core import Instance

__all__ = ["CatalogLink", "get_catalog_link"]

CATALOG_DOMAIN = "catalog"


class CatalogLink(Protocol):
    """Whatever brings the catalog up to date."""

    async def confirm(self, until: float) -> bool:
        """Return whether all that was published until a time is known here."""


def get_catalog_link(instance: Instance) -> CatalogLink:
    """Return the catalog component of an instance."""
    return cast(CatalogLink, instance.components_by_domain[CATALOG_DOMAIN])
