"""Retiring units get no new requests, and are unloaded only after their last request."""

import pytest
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats
from redwingscale_daemon._internal.models.member import EngineMember, InstanceMember
from redwingscale_daemon._internal.models.report import Digest, ResidentUnit
from redwingscale_daemon._internal.placement.drain_acks import DrainAcks
from redwingscale_daemon._internal.placement.drain_reporter import DrainReporter
from redwingscale_daemon._internal.placement.retirements import Retirements
from redwingscale_daemon._internal.upstreams.directory import TOPIC, Directory
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_standins.histories.clock import FakeClock

ENGINE = EngineMember("e1", "a", False, "http://e1", "alder", 1, True, 5.0)
UNITS = ("m@v1", "n@v1")


class Scene:
    """Two instances with the same gossip state; ``i1`` owns the engine."""

    def __init__(self):
        self.clock = FakeClock()
        self.gossip_states = [GossipState("i1"), GossipState("i2")]
        self.gossip_states[0].on_forward(lambda entry, *_: self.gossip_states[1].accept(entry))
        self.gossip_states[1].on_forward(lambda entry, *_: self.gossip_states[0].accept(entry))
        self.directories = [Directory(gossip) for gossip in self.gossip_states]
        self.in_flight = [InFlight(self.clock.read) for _ in self.gossip_states]
        self.reporters = [
            DrainReporter(*parts, self.clock.read)
            for parts in zip(self.gossip_states, self.directories, self.in_flight, strict=True)
        ]
        members = Members(None)
        urls = ("", "", "")
        members.by_id = {i: InstanceMember(i, "a", "r", False, *urls) for i in ("i1", "i2")}
        self.acks = DrainAcks(
            "i1", self.gossip_states[0], members, PeerHeartbeats(), lease_seconds=3.0
        )
        self.retirements = Retirements("e1", self.acks, self.clock.read)
        for directory in self.directories:
            directory.update_members({"e1": ENGINE})
        self.retire(set(), fence=1)

    def retire(self, units, fence):
        self.retirements.update(units, fence)
        residents = tuple(ResidentUnit(unit, 1, True) for unit in UNITS)
        retired = (self.retirements.units, self.retirements.number)
        digest = Digest("e1", fence, False, 10, residents, 0, 0, 8, *retired)
        self.gossip_states[0].publish(TOPIC, "e1", digest)

    def report(self, seconds=1.0):
        for _ in range(2):
            self.clock.advance(seconds / 2)
            for reporter in self.reporters:
                reporter.step()


@pytest.fixture
def scene():
    return Scene()


def test_retiring_unit_gets_no_new_requests(scene):
    scene.retire({"m@v1"}, fence=1)

    for directory in scene.directories:
        assert directory.engines_with("m@v1") == []
        assert [v.member.id for v in directory.engines_with("n@v1")] == ["e1"]


@pytest.mark.parametrize("unit", ["m@v1", ""])
def test_unit_is_drained_when_the_last_request_has_ended(scene, unit):
    """Guards against an unload in the middle of a response.

    Another instance than the owner has a stream on the unit when the owner retires it.
    """
    with scene.in_flight[1].track("e1", unit):
        scene.clock.advance(0.1)
        scene.retire({"m@v1"}, fence=1)
        scene.report()
        with scene.in_flight[1].track("e1", "n@v1"):
            scene.report()
            assert scene.retirements.drained() == set()
    with scene.in_flight[1].track("e1", ""):
        scene.report()
        assert scene.retirements.drained() == {"m@v1"}


def test_request_routed_just_before_the_retirement_delays_the_drain(scene):
    """Guards against an unload under a request whose routing preceded the retirement.

    Its instance counts it as in flight only after it has received the retirement.
    """
    scene.retire({"m@v1"}, fence=1)
    scene.reporters[1].step()
    with scene.in_flight[1].track("e1", "m@v1"):
        scene.report()
        assert scene.retirements.drained() == set()


def test_old_acknowledgement_does_not_count_for_a_new_retirement(scene):
    """Guards against an unload of a unit that was returned to use and has requests.

    The plan changes back and forth, and the acknowledgements of the first retirement are
    still stored during the second.
    """
    scene.retire({"m@v1"}, fence=1)
    scene.report()
    assert scene.retirements.drained() == {"m@v1"}

    scene.retire(set(), fence=1)
    scene.retire({"m@v1"}, fence=1)
    assert scene.retirements.drained() == set()
    scene.retire({"m@v1"}, fence=2)
    assert scene.retirements.drained() == set()
    scene.report()

    assert scene.retirements.drained() == {"m@v1"}


def test_crashed_instance_delays_the_drain_for_two_leases(scene):
    """Guards against a drain that waits forever for a crashed instance that is still listed."""
    scene.gossip_states[1]._forward.clear()
    scene.retire({"m@v1"}, fence=1)
    scene.report(5.0)
    assert scene.retirements.drained() == set()

    scene.report(2.0)

    assert scene.retirements.drained() == {"m@v1"}
