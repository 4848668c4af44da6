"""Links between instances: heartbeats, entries, silence and invalid frames."""

import pynng
import pytest
from hypothesis import given
from hypothesis import strategies as st
from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.frame import Frame, encode_frame
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.heartbeat_clock import HeartbeatClock
from redwingscale_daemon._internal.membership.message import Hello
from redwingscale_daemon._internal.membership.neighbourhood import build_neighbourhood
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats, heartbeat_id
from redwingscale_daemon._internal.models.member import InstanceMember

INSTANCES = 9


def instances(count, domains=1):
    return [
        InstanceMember(f"i{n}", f"d{n % domains}", "r", False, "", "", "") for n in range(count)
    ]


def choices(members, dead=frozenset()):
    return {
        m.id: build_neighbourhood(
            m.id, m.failure_domain, [p for p in members if p.id != m.id]
        ).choose(lambda peer: peer in dead)
        for m in members
    }


def reached(links, start, avoid=frozenset()):
    found, edge = {start}, {start}
    while edge:
        edge = {p for i in edge for p in links[i]} - found - avoid
        found |= edge
    return found


@given(st.integers(1, 80))
def test_links_inside_a_domain_are_mutual_bounded_and_connect_all(count):
    links = choices(instances(count))

    assert all(len(peers) <= 4 for peers in links.values())
    assert all(i in links[peer] for i, peers in links.items() for peer in peers)
    assert reached(links, "i0") == set(links)


@given(st.integers(4, 60), st.integers(2, 6), st.data())
def test_links_connect_the_living_whoever_is_dead(count, domains, data):
    """
    A rack fails and the list still names its instances. Each of them was a
    link of its neighbours; without links around the dead, entries would stop
    where several neighbours died together.
    """
    members = instances(count)
    dead = data.draw(st.sets(st.sampled_from([m.id for m in members[1:]]), max_size=count - 1))
    living = {m.id for m in members} - dead

    assert reached(choices(members, dead), "i0", avoid=dead) == living


def test_all_domains_are_connected():
    links = choices(instances(60, domains=6))

    assert reached(links, "i0") == set(links)


def test_every_instance_sees_its_whole_domain_and_notices_one_that_ends(make_node, wait_for):
    """
    Nine instances link to four peers each, and one ends. Those without a link
    to it must notice its silence too, since any of them may have to take its
    leases.
    """
    nodes = [make_node(f"i{n}") for n in range(INSTANCES)]
    for node in nodes:
        node.run()
    pairs = [(a, b) for a in nodes for b in nodes if a is not b]
    wait_for(lambda: all(a.sees(b.name) for a, b in pairs), "all see all")

    nodes[-1].stop()

    rest = nodes[:-1]
    wait_for(lambda: not any(a.sees(nodes[-1].name) for a in rest), "its silence is noticed")
    # Four listed neighbours, and at most four more that close the rings around the dead one.
    assert all(len(node.control.mesh.linked_peers()) <= 8 for node in rest)


def test_entries_reach_all_domains(make_node, wait_for):
    nodes = [make_node(f"{domain}{n}", domain) for domain in "abc" for n in range(3)]
    for node in nodes:
        node.run()

    nodes[0].control.gossip.publish("test", "k", 1)

    wait_for(lambda: all(n.has_entry(nodes[0].name, "k") for n in nodes), "the entry is everywhere")


def test_silent_link_is_redialled_and_catches_up(make_node, make_relay, wait_for):
    """
    A middlebox drops the state of the connection from a to b. Both ends stay
    connected and every send of a succeeds, but b receives nothing more. Instance
    a must notice that its heartbeats are no longer acknowledged, redial, and send
    what was lost.
    """
    relay = make_relay()
    a, b = make_node("a"), make_node("b", relay=relay)
    a.run()
    b.run()
    wait_for(lambda: b.sees("a") and a.sees("b"), "both see each other")

    relay.silence()
    a.control.gossip.publish("test", "lost", 1)

    wait_for(lambda: b.has_entry("a", "lost"), "the entry arrives over a new connection")
    assert relay.accepted > 1
    assert a.control.traffic.redials >= 1


def test_link_cut_in_one_direction_recovers_without_a_restart(make_node, make_relay, wait_for):
    """
    Frames from a to b are lost while those from b to a arrive. Instance a
    receives from b, so it notices only by the missing acknowledgements. When the
    cut ends, b receives from a again.
    """
    relay = make_relay()
    a, b = make_node("a"), make_node("b", relay=relay)
    a.run()
    b.run()
    wait_for(lambda: b.sees("a") and a.sees("b"), "both see each other")

    relay.cut()
    wait_for(lambda: not b.sees("a") and a.sees("b"), "one direction is cut")
    relay.heal()

    wait_for(lambda: b.sees("a") and a.sees("b"), "both see each other again")


def test_instance_restarted_on_another_port_in_an_outage_is_linked(make_node, platform, wait_for):
    """
    The platform is down, so the member list keeps the old address. The restarted
    instance dials its seed and announces where it listens now.
    """
    a, b = make_node("a"), make_node("b")
    a.run()
    b.run()
    wait_for(lambda: a.sees("b"), "a sees b")
    platform.faults.down = True
    b.stop()
    wait_for(lambda: not a.sees("b"), "b is gone")

    again = make_node("b", seeds=[a.url], listed=False)
    again.run()
    a.control.gossip.publish("test", "later", 1)

    wait_for(lambda: a.sees("b") and again.sees("a"), "both see each other")
    wait_for(lambda: again.has_entry("a", "later"), "entries reach it")


def test_link_that_its_peer_no_longer_chooses_ends_here_too(make_node, wait_for):
    """
    While a fleet starts, member lists differ and peers choose links that they
    soon drop. If the other end kept such a link, it would never be acknowledged
    and would be redialled until it expires.
    """
    make_node("b")
    a = make_node("a")
    a.run()
    wait_for(lambda: a.control.mesh.linked_peers() == ["b"], "a has read the list")
    chose = Frame("z", "c", 1, 0, [], [Hello("tcp://127.0.0.1:1", True)])

    a.control.mesh.receive(chose)
    assert a.control.mesh.linked_peers() == ["b", "z"]
    a.control.mesh.receive(
        chose._replace(heartbeat=2, messages=[Hello("tcp://127.0.0.1:1", False)])
    )

    assert a.control.mesh.linked_peers() == ["b"]


def test_invalid_frames_are_rejected_and_counted(make_node, names, wait_for):
    """
    Another program connects to the port for peers and sends random bytes, a frame
    under another key, and an authenticated message that is not a frame. None has
    an effect, each is counted, and the instance still receives from its peers.
    """
    node = make_node("a")
    key = names.key.encode()
    forged = Frame("b", "a", 1, 0, [(heartbeat_id("c"), 10**6)])
    invalid = [b"", b"x" * 100, encode_frame(forged, b"another key"), encode_frame((1, 2), key)]
    with pynng.Push0(dial=node.url, send_timeout=5000) as other_program:
        for data in invalid:
            other_program.send(data)
        other_program.send(encode_frame(Frame("b", "a", 7, 0), key))

        wait_for(lambda: node.sees("b", 60.0), "the valid frame is accepted")

    assert node.control.traffic.frames_rejected == len(invalid)
    assert not node.sees("c", 60.0)


def test_entry_of_another_shape_is_dropped_alone(make_node, wait_for):
    """
    A peer of another release sends an entry that subscribers cannot read. It must
    not end the thread that receives from all peers.
    """
    a, b = make_node("a"), make_node("b")
    a.run()
    b.run()
    a.control.gossip.publish("configuration", "", "not what is expected")
    b.control.gossip.subscribe("test", lambda entry: 1 / 0)
    a.control.gossip.publish("test", "k", 1)
    a.control.gossip.publish("test", "after", 1)

    wait_for(lambda: b.has_entry("a", "after"), "later entries arrive")


def test_replayed_heartbeat_does_not_make_a_dead_peer_live():
    """
    Recorded frames of an instance are sent again after it ended. If they counted,
    its peers would wait for it instead of taking its leases.
    """
    heartbeats = PeerHeartbeats()
    assert heartbeats.receive("b", 5, same_domain=True)

    assert not heartbeats.receive("b", 4, same_domain=True)
    heartbeats.relay([(heartbeat_id("b"), 5)])
    latest = heartbeats._latest_by_id[heartbeat_id("b")]
    heartbeats.receive("b", 5, same_domain=True)

    assert heartbeats._latest_by_id[heartbeat_id("b")] == latest


def test_heartbeats_rise_above_those_of_a_former_start_with_a_clock_ahead():
    """
    An instance restarts with its clock set back. Peers take its heartbeats for old
    ones and would consider it dead until the clock catches up.
    """
    clock = HeartbeatClock()
    former = clock.now() + 36_000

    clock.raise_above(former)

    assert clock.now() > former


def test_entries_rise_above_those_of_a_former_start_with_a_clock_ahead():
    """
    An instance restarts with its clock set back. What it publishes would be
    refused as older than its entries of the former start, which would remain.
    """
    gossip = GossipState("a")
    gossip.publish("test", "k", "new")
    former = Entry("a", "test", "k", gossip.boot + 10**6, 99, b"\xa3old")

    gossip.accept(former, "b")

    entry = gossip.entries("test")[0]
    assert entry.payload == b"\xa3new"
    assert entry.is_newer_than(former)


@pytest.mark.parametrize("listed", [True, False])
def test_entries_of_origins_that_left_are_dropped_for_good(listed):
    """
    An instance left the deployment. Its entries must not stay in memory without
    limit, and a peer that drops them later must not restore them.
    """
    gossip = GossipState("a")
    entry = Entry("gone", "test", "k", 5, 1, b"\x01")
    gossip.accept(entry, "b")

    gossip.forget_origins({"gone"} if listed else set(), seconds=-1.0)
    gossip.accept(entry, "b")

    assert gossip.entries("test") == ([entry] if listed else [])
    assert gossip.accept(entry._replace(boot=6), "b")
