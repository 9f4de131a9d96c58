"""Which instance owns an endpoint."""

from collections.abc import Iterable

from fescuekeel.messages import LiveEntry, Member
from fescuekeel.util import rendezvous

__all__ = ["choose_owner"]


def choose_owner(endpoint: LiveEntry, members: Iterable[Member]) -> str | None:
    """Return the owner's id, or ``None`` if there is no instance.

    Instances of the endpoint's data centre take precedence. An instance of
    another one is chosen only if none is left there, so that a partition
    between data centres never leads to two owners that reach the endpoint.

    >>> from fescuekeel.messages import LiveRole
    >>> entry = LiveEntry("e1", LiveRole.ENDPOINT, "", "dc1", 1)
    >>> near, far = Member("i1", "", "dc1", 1), Member("i2", "", "dc2", 1)
    >>> choose_owner(entry, [near, far]), choose_owner(entry, [far])
    ('i1', 'i2')
    """
    known = list(members)
    near = [item.id for item in known if item.data_centre == endpoint.data_centre]
    return rendezvous.choose(endpoint.id, near or [item.id for item in known])
