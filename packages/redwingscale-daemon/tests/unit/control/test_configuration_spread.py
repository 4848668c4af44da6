"""How versions come into force at instances, with and without the platform."""

import pytest
from redwingscale_daemon._internal.configuration.store import ConfigurationStore
from redwingscale_daemon._internal.settings.settings import PlatformSettings
from redwingscale_daemon._internal.store.store import connect_platform


@pytest.fixture
def apply(platform, text):
    store = ConfigurationStore(connect_platform(PlatformSettings(platform.url, 2.0), "operator"))

    def apply(version):
        return store.apply(text(version), version - 1, "operator").pointer

    return apply


def version(node):
    accepted = node.control.current.get()
    return accepted.pointer.version if accepted else 0


def only_rises(node):
    return node.versions == sorted(set(node.versions))


def test_versions_come_into_force_everywhere_and_only_rise(make_node, apply, wait_for):
    nodes = [make_node(f"{domain}{n}", domain) for domain in "ab" for n in range(3)]
    for node in nodes:
        node.run()

    for number in range(1, 6):
        apply(number)
        wait_for(lambda n=number: all(version(node) == n for node in nodes), f"version {number}")

    assert all(only_rises(node) for node in nodes)
    names = [node.name for node in nodes]
    versions = [node.control.versions.versions(names) for node in nodes]
    wait_for(lambda: all(set(v.values()) == {5} for v in versions) or versions.clear(), "in force")


def test_instance_restarted_in_an_outage_gets_the_version_from_its_peers(
    make_node, platform, apply, wait_for
):
    """
    The platform is down and an instance is replaced. It has neither a member
    list nor a text: it reaches its peers through its seeds and accepts the
    version of its failure domain.
    """
    peers = [make_node(f"i{n}") for n in range(3)]
    for node in peers:
        node.run()
    apply(1)
    wait_for(lambda: all(version(node) == 1 for node in peers), "version 1")
    platform.faults.down = True
    peers[0].stop()

    new_instance = make_node("i0", seeds=[p.url for p in peers[1:]], listed=False)
    new_instance.run()

    wait_for(lambda: version(new_instance) == 1, "the new instance has version 1")
    assert new_instance.control.current.get().text == peers[1].control.current.get().text


def test_instance_without_live_peers_stays_unready(make_node, platform, wait_for):
    platform.faults.down = True
    new_instance = make_node("i0", seeds=["tcp://127.0.0.1:1"], listed=False)
    new_instance.run()

    wait_for(lambda: new_instance.control.current._platform_failing, "the platform was tried")
    reason = new_instance.control.current.not_ready_reason()

    assert reason == "no configuration: heard 0 of the 1 peers needed"
    assert new_instance.versions == []


def test_single_stale_peer_does_not_restore_an_old_version(make_node, platform, apply, wait_for):
    """
    One instance was cut off from all others before version 2 came into force
    and still serves version 1. In an outage a new instance first reaches only
    this one. To accept version 1 would restore what operators replaced: the new
    instance waits until a majority of its failure domain is live, then accepts
    version 2.
    """
    stale, *others = [make_node(f"i{n}") for n in range(4)]
    for node in (stale, *others):
        node.run()
    apply(1)
    wait_for(lambda: version(stale) == 1 and len(stale.control.versions.by_instance()) == 4, "1")
    for node in others:
        node.stop()
    platform.faults.down = True
    # The new instance reaches the store only once version 2 is in force there: after the outage
    # and before `apply`, it would rightly accept version 1 from the store.
    platform.faults.cut_instances = {"fresh"}
    new_instance = make_node("fresh", seeds=[stale.url], listed=False)
    new_instance.run()

    wait_for(
        lambda: new_instance.sees("i0") and new_instance.control.versions.by_instance(),
        "the stale peer is seen",
    )
    wait_for(
        lambda: "of the 3" in new_instance.control.current.not_ready_reason(),
        "the stale peer names the others",
    )
    for _ in range(5):
        new_instance.control.current.refresh()
    assert new_instance.versions == []
    assert "heard 1 of the 3" in new_instance.control.current.not_ready_reason()

    platform.faults.down = False
    apply(2)
    platform.faults.cut_instances = set()
    back = [make_node(f"i{n}") for n in range(1, 4)]
    for node in back:
        node.run()
    wait_for(lambda: all(version(node) == 2 for node in back), "the others have version 2")
    wait_for(lambda: new_instance.versions, "the new instance has a version")
    assert new_instance.versions == [2]


def test_older_version_of_a_peer_is_ignored(make_node, platform, apply, text, wait_for):
    """
    A peer that did not receive version 2 offers version 1, with its entry and
    with its text, to an instance that has version 2.
    """
    node, peer = make_node("a"), make_node("b")
    old = apply(1)
    apply(2)
    node.run()
    wait_for(lambda: node.versions == [2], "version 2")
    in_force = node.control.current.get()

    node.control.current.put_in_force(in_force._replace(pointer=old))
    peer.control.versions.publish(1)
    node.control.gossip.accept(peer.control.gossip.entries("configuration")[0], "b")
    node.control.current.refresh()

    assert node.control.current.get() is in_force
    assert node.versions == [2]


def test_failure_domain_cut_off_from_the_platform_gets_the_version_from_others(
    make_node, platform, apply, wait_for
):
    """
    Domain a cannot reach the platform while an operator applies version 2
    elsewhere. Its instances receive the version and its text from peers.
    """
    nodes = [make_node(f"{domain}{n}", domain) for domain in "ab" for n in range(3)]
    for node in nodes:
        node.run()
    apply(1)
    wait_for(lambda: all(version(node) == 1 for node in nodes), "version 1")
    platform.faults.cut_instances = {n.name for n in nodes if n.domain == "a"}

    apply(2)

    wait_for(lambda: all(version(node) == 2 for node in nodes), "version 2")
    assert all(only_rises(node) for node in nodes)


def test_failure_domain_cut_off_from_all_keeps_its_version_and_rejoins(
    make_node, make_relay, platform, apply, wait_for
):
    """
    Domain a is cut off from domain b and from the platform, and b gets version
    2. Domain a continues with version 1. When the partition ends, a accepts
    version 2, no version falls, and entries published during the partition
    arrive on both sides.
    """
    relays = [make_relay() for _ in range(2)]
    a, b = make_node("a", "a", relay=relays[0]), make_node("b", "b", relay=relays[1])
    for node in (a, b):
        node.run()
    apply(1)
    wait_for(lambda: version(a) == version(b) == 1 and a.sees("b") and b.sees("a"), "joined")
    for relay in relays:
        relay.cut()
    platform.faults.cut_instances = {"a"}
    wait_for(lambda: not a.sees("b") and not b.sees("a"), "cut")

    apply(2)
    a.control.gossip.publish("test", "of a", 1)
    b.control.gossip.publish("test", "of b", 1)
    wait_for(lambda: version(b) == 2, "b has version 2")
    assert version(a) == 1
    assert not b.has_entry("a", "of a")

    for relay in relays:
        relay.heal()
    wait_for(lambda: a.versions == [1, 2], "a has version 2")
    wait_for(lambda: b.has_entry("a", "of a") and a.has_entry("b", "of b"), "entries crossed")
    assert b.versions == [1, 2]


def test_text_missing_in_the_object_store_comes_from_a_peer(make_node, platform, apply, wait_for):
    """
    The pointer can be read and its text cannot, since only the object store is
    down. A peer that has the text sends it.
    """
    holder = make_node("a")
    holder.run()
    apply(1)
    wait_for(lambda: version(holder) == 1, "version 1")

    late = make_node("b")
    real = late.control.store.text
    late.control.store.text = lambda digest: real("missing")
    late.run()

    wait_for(lambda: version(late) == 1, "the text came from the peer")


def test_text_that_this_release_cannot_read_leaves_the_old_one_in_force(
    make_node, apply, wait_for, text
):
    node = make_node("a")
    node.run()
    apply(1)
    wait_for(lambda: version(node) == 1, "version 1")
    in_force = node.control.current.get()
    newer = in_force.pointer._replace(version=2)

    node.control.current.put_in_force(in_force._replace(pointer=newer, text='{"of": "the future"}'))

    assert node.control.current.get() is in_force
