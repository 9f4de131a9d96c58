"""Tell the instances near the endpoints that are held here what these hold."""

import asyncio
from collections.abc import Callable, Iterable

from fescuekeel.components.placement.const import (
    MAX_NEWS_GATHER_S,
    MAX_NEWS_SLOWDOWN,
    NEWS_FLEET,
    NEWS_GATHER_S,
    NEWS_PERIOD_S,
)
from fescuekeel.components.placement.news import EndpointNews, NewsWriter
from fescuekeel.core import Instance
from fescuekeel.helpers.board import PlacementBoard
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import MemberView, PeerLost, PlacementNews, PlacementState

__all__ = ["NewsTeller", "tells_all"]


def tells_all(view: MemberView) -> bool:
    """Tell whether holders tell all instances, not only those near.

    In a small fleet a message to everybody is cheap and spares questions. In
    a large one it would make what each instance hears grow with the number of
    holders: by arithmetic 80 messages and 20 KB a second at each of 195
    instances with 33 holders, of which hardly one is needed.
    """
    return len(view.members_by_id) <= NEWS_FLEET


class NewsTeller:
    """Decide when what is told, and send it.

    ``list_news`` returns the state of each endpoint that is held here, and
    ``list_centres`` the data centres that these are in.
    """

    def __init__(
        self,
        instance: Instance,
        board: PlacementBoard,
        list_news: Callable[[], Iterable[EndpointNews]],
        list_centres: Callable[[], set[str]],
    ) -> None:
        self._instance = instance
        self._board = board
        self._list_news = list_news
        self._list_centres = list_centres
        self._writer = NewsWriter()
        self._told_incarnations: dict[str, int] = {}
        self._told_view: MemberView | None = None
        self._told_centres: set[str] = set()
        self._told_at = float("-inf")
        self._due = 0.0
        self._wanted = False

    def start(self) -> None:
        """Subscribe to lost connections."""
        self._instance.bus.subscribe(PeerLost, self._note_lost)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is not held any more."""
        self._writer.forget(endpoint)

    def want(self) -> None:
        """Tell of a change at the end of this turn of the loop.

        In a large fleet changes are gathered for a moment, so that a holder
        does not send a message to each of many instances at every load. An
        instance that has not heard of a change yet asks, and hears it then.
        """
        if self._wanted:
            return
        self._wanted = True
        gather_s = 0.0
        fleet = len(self._read_view().members_by_id)
        if fleet > NEWS_FLEET:
            gather_s = min(MAX_NEWS_GATHER_S, NEWS_GATHER_S * fleet / NEWS_FLEET)
            gather_s += self._told_at - self._instance.now()
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, gather_s), self._tell)

    def step(self) -> None:
        """Tell what is due; called at each tick."""
        self._tell_newcomers()
        self._tell()

    def _tell(self) -> None:
        """Tell what changed soon, and all that is held from time to time."""
        now = self._instance.now()
        due = now >= self._due
        if not due and not self._wanted:
            return
        self._wanted = False
        self._told_at = now
        if due:
            fleet = len(self._read_view().members_by_id)
            slowdown = min(MAX_NEWS_SLOWDOWN, max(1.0, fleet / NEWS_FLEET))
            self._due = now + NEWS_PERIOD_S * slowdown
        states = [
            self._writer.write(news, now)
            for news in self._list_news()
            if due or self._writer.has_changed(news)
        ]
        if states:
            self.send(tuple(states))

    def send(self, states: tuple[PlacementState, ...]) -> None:
        """Send states to all who are told, and take them in here."""
        now = self._instance.now()
        own_id = self._instance.id
        for state in states:
            if not state.released:
                self._board.hear(own_id, state, now)
        link = get_peer_link(self._instance)
        link.send_all(self._list_told(), PlacementNews(states))

    def _list_told(self) -> dict[str, int]:
        """Return the incarnations of those who are told, by instance.

        Those of this data centre may have to follow as holders, so that all of
        them know who holds what; and so do those of the endpoints' own.
        Guards against a second holder: after a data centre was lost, others
        hold its endpoints, and its instances, come back, would find none.
        """
        view = self._read_view()
        centres = self._list_centres()
        centres.add(self._instance.settings.instance.data_centre)
        everybody = tells_all(view)
        return {
            id: member.incarnation
            for id, member in view.members_by_id.items()
            if id != self._instance.id and (everybody or member.data_centre in centres)
        }

    def _tell_newcomers(self) -> None:
        """Tell whole lists to who has not heard the last ones.

        Guards against differences that nobody can use: an instance that has
        just come, or whose connection was lost with a message on it, would
        send nothing to an endpoint's adapters until the next whole list.
        """
        view = self._read_view()
        centres = self._list_centres()
        if view is self._told_view and centres == self._told_centres:
            return
        self._told_view = view
        self._told_centres = centres
        incarnations = self._list_told()
        newcomers = [
            id
            for id, incarnation in incarnations.items()
            if self._told_incarnations.get(id) != incarnation
        ]
        self._told_incarnations = incarnations
        if not newcomers:
            return
        states = tuple(
            state
            for news in self._list_news()
            if (state := self._writer.write_whole(news)) is not None
        )
        if states:
            get_peer_link(self._instance).send_all(newcomers, PlacementNews(states))

    def _note_lost(self, lost: PeerLost) -> None:
        self._told_incarnations.pop(lost.instance_id, None)
        self._told_view = None

    def _read_view(self) -> MemberView:
        return self._instance.bus.latest(MemberView) or MemberView()
