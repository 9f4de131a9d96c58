"""The record of one instance, and which news overrides it."""

from dataclasses import dataclass

from fescuekeel.messages import InstanceState, Member, News, NewsKind

__all__ = ["KINDS_BY_STATE", "STATES_BY_KIND", "MemberRecord", "overrides"]

STATES_BY_KIND = {
    NewsKind.ALIVE: InstanceState.ALIVE,
    NewsKind.SUSPECT: InstanceState.SUSPECT,
    NewsKind.DEAD: InstanceState.DEAD,
    NewsKind.LEFT: InstanceState.LEFT,
}
KINDS_BY_STATE = {state: kind for kind, state in STATES_BY_KIND.items()}
RANKS_BY_STATE = {
    InstanceState.ALIVE: 0,
    InstanceState.SUSPECT: 1,
    InstanceState.DEAD: 2,
    InstanceState.LEFT: 3,
}


@dataclass(slots=True)
class MemberRecord:
    """The state of an instance as known here.

    ``incarnation`` is the instance's own: its start time in milliseconds,
    raised by one for each refutation; zero if known from the live list only.
    ``live_incarnation`` is that of the live list, a separate counter.
    ``state_since`` is when the state was entered, in monotonic seconds.
    """

    id: str
    address: str
    data_centre: str
    incarnation: int
    state: InstanceState
    state_since: float
    live_incarnation: int = 0

    @property
    def is_member(self) -> bool:
        """Return whether the instance counts as a member."""
        return self.state in (InstanceState.ALIVE, InstanceState.SUSPECT)

    def to_member(self) -> Member:
        """Return the record as part of the member view."""
        return Member(
            self.id, self.address, self.data_centre, self.incarnation, self.state
        )

    def to_news(self) -> News:
        """Return the record as a piece of gossip."""
        return News(
            KINDS_BY_STATE[self.state],
            self.id,
            self.incarnation,
            self.address,
            self.data_centre,
        )


def overrides(news: News, record: MemberRecord) -> bool:
    """Return whether news overrides a record.

    The higher incarnation wins. Within one incarnation the worse state wins,
    so that only the instance itself can refute it, with a higher incarnation.

    >>> record = MemberRecord("i2", "", "", 5, InstanceState.SUSPECT, 0.0)
    >>> overrides(News(NewsKind.ALIVE, "i2", 5), record)
    False
    >>> overrides(News(NewsKind.ALIVE, "i2", 6), record)
    True
    """
    if news.incarnation != record.incarnation:
        return news.incarnation > record.incarnation
    return RANKS_BY_STATE[STATES_BY_KIND[news.kind]] > RANKS_BY_STATE[record.state]
