"""What instances send each other when a version of the configuration is new."""

import random
import re

import pytest
from redwingscale_daemon._internal.routes.version_announcements import ANNOUNCED_UPDATES
from redwingscale_standins.hosted.documents import document, stream_route
from redwingscale_standins.hosted.waiting import until

NAMES = ("one", "two", "three", "four", "five")
ROUTES = 2000
LINK_MBPS = 10.0
MACHINE = {"processor_share": 1.0, "processor_speed": 1.0, "link_mbps": LINK_MBPS}
# The longest time that the users' rules allow for passing an event on, and the number of
# instances of a usual deployment.
PASS_SECONDS = 0.12
INSTANCES = 69


def large(version, limit_ms=20000, routes=ROUTES):
    names = random.Random(1)
    added = [
        stream_route(f"{names.random()}", f"/{names.random()}/") | {"TimeoutMs": limit_ms}
        for _ in range(routes)
    ]
    return document(version) | {"Routes": [stream_route("live", "/live/"), *added]}


def events(instance, name):
    """Return the fields of the instance's log lines of one event."""
    lines = [one for one in instance.log.read_text().splitlines() if f"event={name} " in one]
    return [dict(re.findall(r"(\w+)=(\S+)", one)) for one in lines]


def sent_bytes(instance, version):
    """Return the bytes that the instance sent of a version, to one other instance each time."""
    sent = events(instance, "configuration_sent")
    announced = events(instance, "configuration_announced") * ANNOUNCED_UPDATES * (len(NAMES) - 1)
    return [int(one["bytes"]) for one in sent + announced if one["version"] == str(version)]


class Spread:
    def __init__(self, deployment):
        self._deployment = deployment
        deployment.worker("w0", "m1")
        self.instances = [deployment.instance(name, machine=MACHINE) for name in NAMES]
        until(self._all_rely_on_the_leader, "the leader's updates at all instances")

    def _all_rely_on_the_leader(self):
        told = [events(one, "configuration_source") for one in self.instances]
        return sum(bool(lines) and lines[-1]["source"] == "order_giver" for lines in told) == 4

    @property
    def leader(self):
        return next(one for one in self.instances if one.name == self._deployment.leader())

    def put(self, made):
        """Write a version; return once all instances have it in force."""
        version = made["Version"]
        self._deployment.rows.put("op", "config", made)
        until(
            lambda: all(self._in_force(one, version) for one in self.instances),
            f"version {version} at all instances",
        )

    def _in_force(self, instance, version):
        lines = events(instance, "configuration_in_force")
        return any(one["version"] == str(version) for one in lines)


@pytest.fixture
def spread(deployment):
    return Spread(deployment)


def test_changed_route_takes_little_of_the_leaders_link(spread):
    """Guards against whole tables to all instances for each changed route."""
    spread.put(large(2))
    changed = large(3)
    changed["Routes"][7]["TimeoutMs"] = 777
    spread.put(changed)
    assert sent_bytes(spread.leader, 3)
    per_instance = max(sum(sent_bytes(one, 3)) for one in spread.instances) / len(NAMES)
    assert per_instance * INSTANCES * 8 / (LINK_MBPS * 1e6) < PASS_SECONDS


def test_changed_route_is_in_force_without_a_query(spread):
    """Guards against versions that wait for a query of an instance whose threads get no time."""
    spread.put(large(2))
    fetched = [len(events(one, "configuration_fetched")) for one in spread.instances]
    changed = large(3)
    changed["Routes"][7]["TimeoutMs"] = 777
    spread.put(changed)
    received = [events(one, "configuration_received")[-1] for one in spread.instances]
    sources = [one["source"] for one in received]
    assert sorted(sources) == ["leader"] * (len(NAMES) - 1) + ["store"]
    assert [len(events(one, "configuration_fetched")) for one in spread.instances] == fetched


def test_large_version_is_not_sent_by_the_leader_alone(spread):
    """Guards against a large version that fills the leader's link for all instances at once."""
    spread.put(large(2))
    spread.put(large(3, limit_ms=9000))
    sent = sent_bytes(spread.leader, 3)
    largest = max(sent)
    assert largest * 8 / (LINK_MBPS * 1e6) > PASS_SECONDS / 4, "the version is not large"
    named = [
        one for one in events(spread.leader, "configuration_sent") if one.get("holders", "0") != "0"
    ]
    assert named or sum(sent) == largest


def test_instances_receive_a_version_after_the_leader_is_lost(spread):
    """Guards against a version that waits for a leader that has ended."""
    lost = spread.leader
    lost.end()
    spread.instances.remove(lost)
    spread.put(large(2))
    spread.put(large(3, limit_ms=9000))
