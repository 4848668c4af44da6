"""How many workers run one stream that an instance has passed on, while workers are silent."""

import itertools
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
from redwingscale_standins.hosted.documents import document
from redwingscale_standins.hosted.model_worker import StreamPause, WorkerTiming
from redwingscale_standins.hosted.waiting import until

from .test_relaying_peers import INSTANCES, cut_off, knows_its_peers

WORKERS = 6
EVENTS = 12
STREAMS = 8
# Longer than a peer and the instance that has passed a stream on wait for a byte.
PAUSE_SECONDS = 5.0
TIMING = WorkerTiming(gap=0.05)
# Callers of such a route leave after some 2.4 s without a first event.
SHORT = {"TargetLatencyMs": 300, "GapTargetMs": 300}
WHOLE = (200, [*range(1, EVENTS + 1)])


def start(deployment, most_upstreams, pause, **route):
    """Start instances of which the first has no path, and workers that pause."""
    configuration = document(1)
    configuration["Routes"][0] |= {"MaxAttempts": most_upstreams, **route}
    deployment.rows.put("op", "config", configuration)
    for number in range(WORKERS):
        deployment.worker(f"w{number}", "m1", timing=TIMING, linked=True)
    for name in INSTANCES:
        deployment.instance(name)
    until(lambda: all(map(knows_its_peers, deployment.instances)), "the peers of each instance")
    until(lambda: deployment.leader() in INSTANCES, "a leader")
    cut_off(deployment, deployment.instances[0])
    for worker in deployment.workers.values():
        worker.pause = pause


def answers(deployment):
    """Return the answers of the first instance to streams that are open at once."""
    first = deployment.instances[0]
    with ThreadPoolExecutor(STREAMS) as pool:
        return list(
            pool.map(
                lambda number: first.request_stream("m1", EVENTS, request=f"s{number}"),
                range(STREAMS),
            )
        )


def most_runs(deployment):
    """Return the largest number of runs of one stream."""
    runs = Counter(itertools.chain.from_iterable(one.runs for one in deployment.workers.values()))
    of_streams = [count for key, count in runs.items() if key.startswith("s")]
    assert len(of_streams) == STREAMS
    return max(of_streams)


@pytest.mark.parametrize("most_upstreams", [2, 3])
def test_stream_that_pauses_runs_as_often_as_its_route_allows(deployment, most_upstreams):
    """Guards against an instance and its peer that each ask as many workers as the route allows."""
    start(deployment, most_upstreams, StreamPause(PAUSE_SECONDS))
    assert answers(deployment) == [WHOLE] * STREAMS
    assert most_runs(deployment) <= most_upstreams


@pytest.mark.parametrize("most_upstreams", [2, 3])
def test_stream_that_begins_late_runs_as_often_as_its_route_allows(deployment, most_upstreams):
    """Guards against the same before the first event, when the peer has sent no answer yet."""
    start(deployment, most_upstreams, StreamPause(PAUSE_SECONDS, after_events=0), **SHORT)
    answers(deployment)
    assert most_runs(deployment) <= most_upstreams
