"""An instance whose connections to upstreams live on while new ones are reset."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.process_paths import PathFault

INSTANCES = ("one", "two")
WORKERS = 4
EVENTS = 12
# A stream of some 6 s, which is open during all plays.
LONG_EVENTS = 300
AT_ONCE = 10
PLAYS = 3
# Requests sent later than this after the begin of a cut must be served.
CONTACT_SECONDS = 3.0


def knows_its_peer(instance):
    return b"event=entries_" in instance.log.read_bytes()


@pytest.fixture
def fleet(deployment):
    """Two instances and linked workers with one model."""
    for number in range(WORKERS):
        deployment.worker_process(f"w{number}", "m1", linked=True)
    for name in INSTANCES:
        deployment.instance(name)
    until(lambda: all(map(knows_its_peer, deployment.instances)), "the peer of each instance")
    until(lambda: deployment.leader() in INSTANCES, "a leader")
    return deployment


def keep_asking(instance, stopped):
    """Request streams one after another: a peer tells by its own requests what it reaches."""
    number = 0
    while not stopped.wait(0.05):
        instance.request_stream("m1", 2, request=f"peer-{number}")
        number += 1


def served_at_once(instance, play):
    """Request streams at the same time, and return how many are whole."""

    def is_whole(number):
        answer = instance.request_stream("m1", EVENTS, request=f"play-{play}-{number}")
        return answer == (200, [*range(1, EVENTS + 1)])

    with ThreadPoolExecutor(AT_ONCE) as pool:
        return sum(pool.map(is_whole, range(AT_ONCE)))


def test_callers_are_served_while_new_connections_break(fleet):
    """Guards against requests that are lost on new connections while open ones answer."""
    instance = next(each for each in fleet.instances if each.name != fleet.leader())
    stopped = threading.Event()
    with ThreadPoolExecutor(1 + len(INSTANCES)) as pool:
        for peer in fleet.instances:
            if peer is not instance:
                pool.submit(keep_asking, peer, stopped)
        stream = pool.submit(instance.request_stream, "m1", LONG_EVENTS, request="long")
        until(lambda: b"request=long" in instance.log.read_bytes(), "the long stream")
        fleet.cut(instance, PathFault.REFUSE_NEW)
        cut_at = time.monotonic()
        while time.monotonic() < cut_at + CONTACT_SECONDS:
            served_at_once(instance, "uncounted")
        served = [served_at_once(instance, play) for play in range(PLAYS)]
        stopped.set()
        fleet.heal(instance)
        assert stream.result() == (200, [*range(1, LONG_EVENTS + 1)])
    assert served == [AT_ONCE] * PLAYS
