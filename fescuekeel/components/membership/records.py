"""What is believed of one instance, and which news overrides it."""

from dataclasses import dataclass

from fescuekeel.messages import InstanceState, Member, News, NewsKind

__all__ = ["KINDS_BY_STATE", "STATES_BY_KIND", "Record", "overrides"]

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
class Record:
    """Hold what is believed of an instance.

    ``incarnation`` is the instance's own: its start in milliseconds, raised
    by one for each refutation; zero until it has been heard.
    ``live_incarnation`` is the platform's, which counts apart. ``since`` is
    when the state was entered, in monotonic seconds.
    """

    id: str
    address: str
    data_centre: str
    incarnation: int
    state: InstanceState
    since: float
    live_incarnation: int = 0

    @property
    def present(self) -> bool:
        """Tell whether the instance counts as a member."""
        return self.state in (InstanceState.ALIVE, InstanceState.SUSPECT)

    def to_member(self) -> Member:
        """Return the record as others see it."""
        return Member(
            self.id, self.address, self.data_centre, self.incarnation, self.state
        )

    def to_news(self) -> News:
        """Return the record as news."""
        return News(
            KINDS_BY_STATE[self.state],
            self.id,
            self.incarnation,
            self.address,
            self.data_centre,
        )


def overrides(news: News, record: Record) -> bool:
    """Tell whether news is later than what is believed.

    The higher incarnation wins. Of the same incarnation the worse news wins,
    so that only the instance itself can take it back, by a higher one.

    >>> record = Record("i2", "", "", 5, InstanceState.SUSPECT, 0.0)
    >>> overrides(News(NewsKind.ALIVE, "i2", 5), record)
    False
    >>> overrides(News(NewsKind.ALIVE, "i2", 6), record)
    True
    """
    if news.incarnation != record.incarnation:
        return news.incarnation > record.incarnation
    return RANKS_BY_STATE[STATES_BY_KIND[news.kind]] > RANKS_BY_STATE[record.state]
