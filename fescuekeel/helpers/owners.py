"""Which instance owns an endpoint."""

from collections.abc import Iterable

from fescuekeel.messages import LiveEntry, Member
from fescuekeel.util import rendezvous

__all__ = ["choose_owner"]

# An endpoint that is down is unreachable for all. It passes on among a few
# instances only, so that the polls it gets do not grow with the fleet.
MAX_NEAR_OWNERS = 4
MAX_FAR_OWNERS = 2


def choose_owner(endpoint: LiveEntry, members: Iterable[Member]) -> str | None:
    """Return the owner's id, or ``None`` if there is no instance.

    Instances of the endpoint's data centre take precedence. An instance of
    another one is chosen only if none is left there, so that a partition
    between data centres never leads to two owners that reach the endpoint.
    Instances that cannot reach the endpoint are passed over.

    >>> from fescuekeel.messages import LiveRole
    >>> entry = LiveEntry("e1", LiveRole.ENDPOINT, "", "dc1", 1)
    >>> near, far = Member("i1", "", "dc1", 1), Member("i2", "", "dc2", 1)
    >>> choose_owner(entry, [near, far]), choose_owner(entry, [far])
    ('i1', 'i2')
    >>> cut = Member("i1", "", "dc1", 1, unreachable=frozenset({"e1"}))
    >>> choose_owner(entry, [cut, far]), choose_owner(entry, [cut])
    ('i2', 'i1')
    """
    known = list(members)
    near = [item.id for item in known if item.data_centre == endpoint.data_centre]
    cut = {item.id for item in known if endpoint.id in item.unreachable}
    if not cut:
        return rendezvous.choose(endpoint.id, near or [item.id for item in known])
    far = [item.id for item in known if item.data_centre != endpoint.data_centre]
    ranked_near = rendezvous.rank(endpoint.id, near)[:MAX_NEAR_OWNERS]
    ranked_far = rendezvous.rank(endpoint.id, far)[:MAX_FAR_OWNERS]
    ranked = [*ranked_near, *ranked_far]
    return next((id for id in ranked if id not in cut), next(iter(ranked), None))
