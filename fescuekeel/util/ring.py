"""Choose a few of many peers so that together they reach all of them."""

from collections.abc import Collection

import xxhash

__all__ = ["list_contacts"]

# In a fleet of so many, everybody talks to everybody.
SMALL_FLEET = 16


def list_contacts(own_id: str, ids: Collection[str]) -> set[str]:
    """Return the peers that an instance talks to of its own accord.

    On a ring of all instances, in the order of their hashes, these are the
    ones 1, 2, 4, 8 and so on places ahead. Everybody has as many contacts as
    there are others who have it as theirs, and word passed on by contacts
    reaches all in as many steps as there are contacts. So connections and
    messages of an instance grow with the logarithm of the fleet: at 195
    instances 8 contacts in place of 194.

    >>> ids = {f"i{number}" for number in range(195)}
    >>> len(list_contacts("i0", ids))
    8
    >>> sorted(list_contacts("i0", {"i0", "i1", "i2"}))
    ['i1', 'i2']
    """
    others = set(ids) - {own_id}
    if len(others) < SMALL_FLEET:
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
