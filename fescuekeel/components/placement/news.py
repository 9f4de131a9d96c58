"""Write what a holder tells of its endpoints, whole or as differences; pure.

What endpoints hold makes up most of the bytes between instances: at 77
instances, whole lists at each change took more than the 10 Mbit/s of a
holder's link. Differences take a tenth of that.
"""

from dataclasses import dataclass, field

from fescuekeel.components.placement.const import FULL_NEWS_PERIOD_S
from fescuekeel.helpers.published import Weights
from fescuekeel.messages import HeldWeights, PlacementState

__all__ = ["EndpointNews", "NewsWriter"]


@dataclass(frozen=True, slots=True)
class EndpointNews:
    """What is to be told of one endpoint now."""

    endpoint: str
    term: int
    held: dict[Weights, int]
    running: int
    pending_tokens: int


@dataclass(slots=True)
class ToldList:
    """The list that was last told of an endpoint, and when it was whole."""

    term: int
    number: int
    held: dict[Weights, int]
    whole_at: float


@dataclass(slots=True)
class NewsWriter:
    """Remember what was told of each endpoint, and number the lists.

    >>> writer = NewsWriter()
    >>> cups, rings = Weights("m", "cups"), Weights("m", "rings")
    >>> first = writer.write(EndpointNews("e", 1, {cups: 1}, 0, 0), 0.0)
    >>> second = writer.write(EndpointNews("e", 1, {rings: 1}, 0, 0), 0.1)
    >>> second.based_on == first.number, second.held, second.dropped
    ... # doctest: +NORMALIZE_WHITESPACE
    (True, (HeldWeights(model='m', adapter='rings', version=1),),
     (HeldWeights(model='m', adapter='cups', version=1),))
    """

    _told_by_endpoint: dict[str, ToldList] = field(default_factory=dict)

    def has_changed(self, news: EndpointNews) -> bool:
        """Tell whether the list differs from what was told."""
        told = self._told_by_endpoint.get(news.endpoint)
        return told is None or told.term != news.term or told.held != news.held

    def write(self, news: EndpointNews, now: float) -> PlacementState:
        """Return what all others are told: the list's differences, mostly.

        The whole list comes with a new claim, and from time to time, for an
        instance that has missed a message unnoticed.
        """
        told = self._told_by_endpoint.get(news.endpoint)
        if told is None or told.term != news.term:
            told = ToldList(news.term, 1, news.held, now)
            self._told_by_endpoint[news.endpoint] = told
            return _make_whole(news, told)
        before, based_on = told.held, told.number
        if before != news.held:
            told.held = news.held
            told.number += 1
        if now - told.whole_at > FULL_NEWS_PERIOD_S:
            told.whole_at = now
            return _make_whole(news, told)
        held = {
            weights: version
            for weights, version in told.held.items()
            if before.get(weights) != version
        }
        dropped = {
            weights: version
            for weights, version in before.items()
            if weights not in told.held
        }
        return PlacementState(
            news.endpoint,
            news.term,
            held=_make_held(held),
            running=news.running,
            pending_tokens=news.pending_tokens,
            number=told.number,
            based_on=based_on,
            dropped=_make_held(dropped),
        )

    def write_whole(self, news: EndpointNews) -> PlacementState | None:
        """Return the list as it was last told, for who has not heard it."""
        told = self._told_by_endpoint.get(news.endpoint)
        if told is None or told.term != news.term:
            return None
        return _make_whole(news, told)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is not held any more."""
        self._told_by_endpoint.pop(endpoint, None)


def _make_whole(news: EndpointNews, told: ToldList) -> PlacementState:
    return PlacementState(
        news.endpoint,
        news.term,
        held=_make_held(told.held),
        running=news.running,
        pending_tokens=news.pending_tokens,
        number=told.number,
    )


def _make_held(held: dict[Weights, int]) -> tuple[HeldWeights, ...]:
    return tuple(
        HeldWeights(weights.model, weights.adapter, version)
        for weights, version in held.items()
    )
