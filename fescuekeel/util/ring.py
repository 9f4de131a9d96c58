"""Overlay of connections between instances, based on a hash ring."""

from collections.abc import Collection

import xxhash

__all__ = ["list_contacts"]

# Below this number of peers the overlay is a full mesh.
FULL_MESH_LIMIT = 16


def list_contacts(own_id: str, ids: Collection[str]) -> set[str]:
    """Return the peers to which an instance sends messages proactively.

    These are the instances 1, 2, 4, 8 and so on positions ahead on a ring of
    all instances, ordered by hash. In-degree and out-degree are equal, and
    both the degree and the number of hops to reach every instance are
    logarithmic in the size of the fleet.

    >>> ids = {f"i{number}" for number in range(195)}
    >>> len(list_contacts("i0", ids))
    8
    >>> sorted(list_contacts("i0", {"i0", "i1", "i2"}))
    ['i1', 'i2']
    """
    others = set(ids) - {own_id}
    if len(others) < FULL_MESH_LIMIT:
        return others
    ring = sorted(others | {own_id}, key=lambda id: (_hash(id), id))
    own_place = ring.index(own_id)
    contacts = set()
    step = 1
    while step < len(ring):
        contacts.add(ring[(own_place + step) % len(ring)])
        step *= 2
    return contacts


def _hash(id: str) -> int:
    return xxhash.xxh3_64_intdigest(id.encode())
