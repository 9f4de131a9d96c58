"""Stateful fuzzing of what endpoints say of themselves in answers."""

import math
from dataclasses import dataclass, field, replace
from unittest.mock import patch

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from fescuekeel.components.endpoints import EndpointStates
from fescuekeel.components.endpoints.const import (
    FULL_WINDOW,
    LEAVING_TOPIC,
    LEAVING_TTL_S,
    MAX_LEAVING,
    MAX_RETURN_DELAY_S,
    RETURN_S,
)
from fescuekeel.components.gossip import Fact, TopicLimits
from fescuekeel.components.gossip.table import FactTable
from fescuekeel.core import Bus, Metrics
from fescuekeel.helpers.dialect import ResponseMetadata
from fescuekeel.messages import LeavingIds

INSTANCES = tuple(f"i{number}" for number in range(4))
ADDRESSES = tuple(f"a{number}" for number in range(3))
LIMITS_BY_TOPIC = {LEAVING_TOPIC: TopicLimits(LEAVING_TTL_S, MAX_LEAVING)}
MANY = st.integers(0, 11)
RETRY_AFTER_S = st.sampled_from([0.0, 0.3, 3.0, 30.0, math.nan])
# Parts of a back-off; the last is after its end and the longest delay.
RETURN_WAITS = st.sampled_from([0.0, 0.5, 1.01, 1.3])
# The clock adds up steps.
ROUNDING_S = 1e-6


@dataclass(eq=False)
class Endpoint:
    """One incarnation of an endpoint at an address."""

    id: str
    leaves: bool = False


@dataclass(eq=False)
class Request:
    """A request that an instance has sent; ``returns`` as it was recorded."""

    node: "Node"
    endpoint: Endpoint
    returns: bool


@dataclass(eq=False)
class Node:
    """An instance with the real component, and its facts."""

    machine: "EndpointsMachine"
    id: str
    bus: Bus = field(default_factory=Bus)
    metrics: Metrics = field(default_factory=Metrics)
    told_leaving: set = field(default_factory=set)
    backed_off_until_by_endpoint: dict = field(default_factory=dict)
    window_by_endpoint: dict = field(default_factory=dict)

    def __post_init__(self):
        self.components_by_domain = {"gossip": self}
        self.table = FactTable(LIMITS_BY_TOPIC)
        self.states = EndpointStates(self)

    def now(self):
        return self.machine.now

    def believes_leaving(self, endpoint):
        return endpoint.id in (self.bus.latest(LeavingIds) or LeavingIds()).ids

    def may_send(self, endpoint):
        is_blocked = self.states.find_block(endpoint.id) is not None
        return not is_blocked and not self.believes_leaving(endpoint)

    # The gossip component.

    def get_rank(self, topic, key):
        return max(
            (fact.rank for fact in self.table.list_all() if fact.key == key), default=0
        )

    def publish(self, topic, key, rank, payload):
        fact = Fact(topic, key, rank, payload, self.machine.now)
        self.merge(fact)
        for other in self.machine.list_connected(self):
            other.merge(fact)

    def merge(self, fact):
        if self.table.merge(replace(fact), self.machine.now):
            self.states._handle_leaving(fact)


class EndpointsMachine(RuleBasedStateMachine):
    """Send requests to endpoints that leave, back off and restart.

    Instances restart and are cut off from each other; answers come late, in
    any order, or not at all.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.starts = 0
        self.cut_off = set()
        self.requests = []
        self.random = patch("fescuekeel.components.endpoints.component.random.random")
        self.random.start().return_value = 0.5
        self.nodes_by_id = {id: Node(self, id) for id in INSTANCES}
        self.endpoints_by_address = {}
        for address in ADDRESSES:
            self.start(address)

    def teardown(self):
        self.random.stop()

    def start(self, address):
        self.starts += 1
        self.endpoints_by_address[address] = Endpoint(f"{address}@{self.starts}")

    def list_connected(self, node):
        if node.id in self.cut_off:
            return []
        return [
            other
            for other in self.nodes_by_id.values()
            if other is not node and other.id not in self.cut_off
        ]

    def pick_node(self, number):
        return self.nodes_by_id[INSTANCES[number % len(INSTANCES)]]

    def pick_endpoint(self, number):
        return self.endpoints_by_address[ADDRESSES[number % len(ADDRESSES)]]

    # What happens.

    @rule(at=MANY, to=MANY, number=st.integers(1, 12))
    def send_some(self, at, to, number):
        for _ in range(number):
            self.send(self.pick_node(at), self.pick_endpoint(to))

    @rule(at=MANY, to=MANY, retry_after_s=RETRY_AFTER_S, wait_share=RETURN_WAITS)
    def turn_away(self, at, to, retry_after_s, wait_share):
        """Turn a request away, and get more after a part of the time."""
        node, endpoint = self.pick_node(at), self.pick_endpoint(to)
        if not node.may_send(endpoint):
            return
        self.send(node, endpoint)
        self.answer(len(self.requests) - 1, retry_after_s)
        self.pass_time(0.0 if math.isnan(retry_after_s) else wait_share * retry_after_s)
        self.send_some(at, to, 3)

    def send(self, node, endpoint):
        if not node.may_send(endpoint):
            return
        assert endpoint.id not in node.told_leaving
        assert self.now >= node.backed_off_until_by_endpoint.get(endpoint.id, 0.0)
        returns = node.states.record_sent(endpoint.id)
        request = Request(node, endpoint, returns)
        self.requests.append(request)
        unanswered = [
            each
            for each in self.requests
            if each.returns and each.node is node and each.endpoint is endpoint
        ]
        assert len(unanswered) <= node.window_by_endpoint.get(endpoint.id, FULL_WINDOW)

    @precondition(lambda self: self.requests)
    @rule(which=MANY, retry_after_s=st.none() | RETRY_AFTER_S)
    def answer(self, which, retry_after_s):
        """Answer a request, or turn it away for a time."""
        request = self.requests.pop(which % len(self.requests))
        node, endpoint = request.node, request.endpoint
        response = ResponseMetadata(
            retry_after_s is not None,
            True,
            "",
            leaving=endpoint.leaves,
            retry_after_s=retry_after_s,
        )
        node.states.record_response(endpoint.id, response)
        if request.returns:
            node.states.record_ended(endpoint.id, answered=retry_after_s is None)
            if endpoint.id in node.window_by_endpoint:
                node.window_by_endpoint[endpoint.id] += retry_after_s is None
        if endpoint.leaves:
            node.told_leaving.add(endpoint.id)
            for other in (node, *self.list_connected(node)):
                assert other.believes_leaving(endpoint)
        if retry_after_s is not None and not math.isnan(retry_after_s):
            known = node.backed_off_until_by_endpoint.get(endpoint.id, 0.0)
            until = max(known, self.now + retry_after_s - ROUNDING_S)
            node.backed_off_until_by_endpoint[endpoint.id] = until
            if until > known:
                node.window_by_endpoint[endpoint.id] = 1

    @precondition(lambda self: self.requests)
    @rule(which=MANY)
    def lose(self, which):
        """End a request without an answer."""
        request = self.requests.pop(which % len(self.requests))
        if request.returns:
            request.node.states.record_ended(request.endpoint.id, answered=False)

    @rule(to=MANY)
    def begin_to_leave(self, to):
        self.pick_endpoint(to).leaves = True

    @rule(to=MANY)
    def restart_endpoint(self, to):
        """Restart an endpoint; nobody may hold anything against it."""
        self.start(ADDRESSES[to % len(ADDRESSES)])
        endpoint = self.pick_endpoint(to)
        assert all(node.may_send(endpoint) for node in self.nodes_by_id.values())

    @rule(at=MANY)
    def restart_instance(self, at):
        """Restart an instance without requests; peers tell it the facts."""
        id = self.pick_node(at).id
        self.nodes_by_id[id] = Node(self, id)
        self.requests = [each for each in self.requests if each.node.id != id]
        self.exchange_facts()

    @rule(at=st.sets(st.sampled_from(INSTANCES), max_size=3))
    def cut_off_some(self, at):
        self.cut_off = set(at)
        self.exchange_facts()

    @rule()
    def heal(self):
        """All instances believe what one of them was told."""
        self.cut_off.clear()
        self.exchange_facts()
        nodes = self.nodes_by_id.values()
        told = set().union(*(node.told_leaving for node in nodes))
        for endpoint in self.endpoints_by_address.values():
            if endpoint.id in told:
                assert all(node.believes_leaving(endpoint) for node in nodes)

    def exchange_facts(self):
        for node in self.nodes_by_id.values():
            for other in self.list_connected(node):
                for fact in node.table.list_all():
                    other.merge(fact)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 5.0, 40.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(at=MANY, to=MANY)
    def wait_for_return(self, at, to):
        """Wait out a back-off; the endpoint gets requests again."""
        node, endpoint = self.pick_node(at), self.pick_endpoint(to)
        until = node.backed_off_until_by_endpoint.get(endpoint.id, self.now)
        self.now = max(self.now, until) + MAX_RETURN_DELAY_S + RETURN_S + ROUNDING_S
        assert node.states.find_block(endpoint.id) is None

    @rule(to=MANY)
    def judge(self, to):
        """Check that only an endpoint that leaves is believed to."""
        endpoint = self.pick_endpoint(to)
        if not endpoint.leaves:
            nodes = self.nodes_by_id.values()
            assert not any(node.believes_leaving(endpoint) for node in nodes)


TestEndpoints = EndpointsMachine.TestCase
TestEndpoints.settings = settings(
    max_examples=40, stateful_step_count=40, deadline=None
)
