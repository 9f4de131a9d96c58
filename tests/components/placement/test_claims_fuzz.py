"""Random faults between instances that claim one endpoint."""

import random
from dataclasses import dataclass, field

import pytest

from fescuekeel.components.placement.claims import Claims, make_fencing_token
from fescuekeel.components.placement.const import UPDATE_PERIOD_S
from fescuekeel.helpers.published import EndpointRecord
from fescuekeel.messages import Member

LEASE_S = 3.0
STEP_S = 0.1
FAULTS_S = 12.0
RECOVERY_S = 25.0
REVISION = 10
IDS = ("i1", "i2", "i3", "i4")
ENDPOINT = EndpointRecord("e1", "s", "127.0.0.1:1", "dc1", 8, False)


@dataclass
class Fleet:
    """Instances with their claims to an endpoint.

    ``fenced`` says that the endpoint checks fencing tokens. ``blocked`` has
    pairs of a sender and a receiver whose messages are lost.
    """

    random: random.Random
    fenced: bool
    claims_by_id: dict[str, Claims] = field(default_factory=dict)
    blocked: set[tuple[str, str]] = field(default_factory=set)
    fence: int = 0

    def restart(self, id):
        self.claims_by_id[id] = Claims(id, LEASE_S, fenced=self.fenced)

    def inject_fault(self):
        """Restart an instance, or cut or heal one direction of a link."""
        sender, receiver = self.random.sample(IDS, 2)
        match self.random.randrange(4):
            case 0:
                self.restart(sender)
            case 1:
                self.blocked.add((sender, receiver))
            case 2:
                self.blocked |= {(sender, receiver), (receiver, sender)}
            case 3:
                self.blocked.clear()

    def step(self, now, announces):
        for id, claims in self.claims_by_id.items():
            claims.record_contact("e1", True, now)
            claims.step({"e1": ENDPOINT}, self.list_members(id), (), REVISION, now)
            if not claims.may_order("e1", now):
                continue
            self.order(id, claims, now)
            if announces:
                self.announce(id, claims, now)

    def list_members(self, id):
        reachable = [
            other for other in IDS if not {(id, other), (other, id)} & self.blocked
        ]
        return {other: Member(other, "", "dc1", 1) for other in reachable}

    def order(self, id, claims, now):
        fence = make_fencing_token(claims.own_claims_by_endpoint["e1"].term, id)
        if self.fenced and fence < self.fence:
            claims.record_fenced("e1", now)
            return
        self.fence = fence
        claims.record_order("e1", now)

    def announce(self, id, claims, now):
        own = claims.own_claims_by_endpoint.get("e1")
        if own is None:
            return
        for other, receiver in self.claims_by_id.items():
            if other != id and (id, other) not in self.blocked:
                receiver.receive_claim("e1", id, own.term, False, 0.0, now)

    def list_holders(self, now):
        return {
            id: claims.find_holder("e1", now)
            for id, claims in self.claims_by_id.items()
        }


def simulate(seed, fenced):
    """Return the holder that each instance finds after all faults."""
    fleet = Fleet(random.Random(seed), fenced)
    for id in IDS:
        fleet.restart(id)
    per_update = round(UPDATE_PERIOD_S / STEP_S)
    steps = round((FAULTS_S + RECOVERY_S) / STEP_S)
    for number in range(steps):
        now = 100.0 + number * STEP_S
        if number * STEP_S >= FAULTS_S:
            fleet.blocked.clear()
        elif fleet.random.random() < 0.15:
            fleet.inject_fault()
        fleet.step(now, announces=number % per_update == 0)
    return fleet.list_holders(now), fleet


class TestClaimsFuzz:
    @pytest.mark.parametrize("fenced", [True, False])
    @pytest.mark.parametrize("first_seed", range(0, 100, 50))
    def test_all_instances_find_the_holder(self, first_seed, fenced):
        """Guards against an instance that ignores a holder for good."""
        for seed in range(first_seed, first_seed + 50):
            holder_by_id, fleet = simulate(seed, fenced)
            assert len(set(holder_by_id.values())) == 1, f"seed {seed}: {holder_by_id}"
            holder = holder_by_id["i1"]
            assert holder is not None, f"seed {seed}"
            assert fleet.claims_by_id[holder].is_held("e1"), f"seed {seed}"
