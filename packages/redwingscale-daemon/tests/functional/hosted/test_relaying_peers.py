"""Streams that an instance without a path passes on to a peer, while one of the two changes."""

import signal
from concurrent.futures import ThreadPoolExecutor

import pytest
from redwingscale_standins.hosted.documents import document, stream_route
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.process_paths import PathFault

INSTANCES = ("one", "two", "three")
WORKERS = 3
# Streams of some 3 s.
EVENTS = 150
STREAMS = 4
KINDS = ("live", "fixed")


def configuration(version):
    made = document(version)
    fixed = stream_route("fixed", "/fixed/") | {"Resumable": False, "MaxAttempts": 1}
    made["Routes"].append(fixed)
    return made


def lines_of(instance, event):
    lines = instance.log.read_bytes().splitlines()
    return [line for line in lines if f"event={event} ".encode() in line]


def knows_its_peers(instance):
    lines = instance.log.read_text().splitlines()
    peers = {line.split("peer=")[1].split()[0] for line in lines if "event=entries_" in line}
    return len(peers) == len(INSTANCES) - 1


def serving(fleet, request):
    """Return the peer that has sent a request to a worker."""
    mark = f"request={request} ".encode()
    return next(one for one in fleet.instances[1:] if mark in b"".join(lines_of(one, "sent")))


def cut_off(fleet, instance):
    """Cut an instance off from all workers, until it passes requests on."""
    fleet.cut(instance, PathFault.RESET)

    def passes_on():
        instance.request_stream("m1", 1, request="before")
        return bool(lines_of(instance, "path_lost"))

    until(passes_on, "the loss of the path")


@pytest.fixture
def fleet(deployment):
    """Three instances; the first one has no path, and passes streams on to its peers."""
    deployment.rows.put("op", "config", configuration(1))
    for number in range(WORKERS):
        deployment.worker_process(f"w{number}", "m1", linked=True)
    for name in INSTANCES:
        deployment.instance(name)
    until(lambda: all(map(knows_its_peers, deployment.instances)), "the peers of each instance")
    until(lambda: deployment.leader() in INSTANCES, "a leader")
    cut_off(deployment, deployment.instances[0])
    return deployment


@pytest.fixture
def streams(fleet):
    """Streams that peers have begun to serve, by kind of route."""
    with ThreadPoolExecutor(STREAMS * len(KINDS)) as pool:
        first = fleet.instances[0]
        begun = {
            f"{kind}-{number}": pool.submit(
                first.request_stream, "m1", EVENTS, path=f"/{kind}/x", request=f"{kind}-{number}"
            )
            for number in range(STREAMS)
            for kind in KINDS
        }
        names = [f"request={key} ".encode() for key in begun]
        peers = fleet.instances[1:]

        def all_sent():
            sent = b"".join(line for one in peers for line in lines_of(one, "sent"))
            return all(name in sent for name in names)

        until(all_sent, "the begin of all streams")
        yield begun


def not_whole(streams, kinds=KINDS):
    answers = {key: one.result() for key, one in streams.items() if key.startswith(kinds)}
    whole = (200, [*range(1, EVENTS + 1)])
    return {key: one for key, one in answers.items() if one != whole}


def test_streams_outlast_peers_that_stop(fleet, streams):
    """Guards against streams that are cut when the instance that serves them is stopped."""
    serving(fleet, "live-0").process.send_signal(signal.SIGTERM)
    assert not_whole(streams) == {}


def test_streams_outlast_the_stop_of_the_instance_that_passed_them_on(fleet, streams):
    """Guards against streams that are cut when the instance of their caller is stopped."""
    fleet.instances[0].process.send_signal(signal.SIGTERM)
    assert not_whole(streams) == {}


def test_streams_outlast_reloads_and_versions(fleet, streams):
    """Guards against streams through a peer that are cut beside a new configuration."""
    for version in range(2, 8):
        fleet.rows.put("op", "config", configuration(version))
        for instance in fleet.instances:
            instance.process.send_signal(signal.SIGHUP)
    assert not_whole(streams) == {}


def test_streams_outlast_the_return_of_the_path(fleet, streams):
    """Guards against streams through a peer that are cut when the own path works again."""
    fleet.heal(fleet.instances[0])
    until(lambda: lines_of(fleet.instances[0], "path_restored"), "the path")
    assert not_whole(streams) == {}


def test_resumable_streams_outlast_a_killed_peer(fleet, streams):
    """Guards against streams that end with the process of the instance that serves them."""
    serving(fleet, "live-0").end()
    assert not_whole(streams, ("live",)) == {}
