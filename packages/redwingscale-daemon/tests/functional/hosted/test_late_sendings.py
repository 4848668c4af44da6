"""Requests that came in time, and would be sent late in the grace period of an instance."""

import itertools
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from redwingscale_standins.hosted.documents import mixed_document
from redwingscale_standins.hosted.late_caller import Part, send_late, split_request
from redwingscale_standins.hosted.mixed_worker import MixedWorker
from redwingscale_standins.hosted.model_worker import WorkerTiming
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.process_paths import PathFault

GRACE_SECONDS = 8
CALLERS = 16
RUN_SECONDS = 2.2
EVENTS = 11
# When requests are sent, after the signal: the port closes after the last one.
FIRST_SECONDS, LAST_SECONDS = -0.3, 1.9
# From then on the worker takes requests, and weights are loaded.
OPENS_SECONDS = 5.6
PEER_CALLS_SECONDS = 9.0
PEER_CALLERS = 6
LEAST_THREADS = 8


def configuration():
    made = mixed_document(1)
    engine = made["Services"][0]["Engine"]
    seconds = dict.fromkeys(("LoadS", "WarmS", "DiskS"), OPENS_SECONDS)
    engine["Models"] = [one | seconds for one in engine["Models"]]
    return made


@pytest.fixture
def workers(deployment):
    """A model worker that loads slowly, and a plain worker."""
    deployment.rows.put("op", "config", configuration())
    timing = WorkerTiming(gap=RUN_SECONDS / EVENTS, load=OPENS_SECONDS)
    made = [
        MixedWorker("w1", {"m1": set()}, RUN_SECONDS, timing),
        MixedWorker("p1", {}, RUN_SECONDS),
    ]
    deployment.plain_worker(made[1])
    port = deployment.link(deployment._serve(made[0]))
    deployment.rows.put("servers", "w1", deployment.entry(made[0], port))
    return made


def started(deployment, name="one", **options):
    made = deployment.instance(name, stop_grace=GRACE_SECONDS, **options)
    until(lambda: b"upstream=p1" in made.log.read_bytes(), "the plain worker")
    return made


def knows_peers(instance, count):
    lines = instance.log.read_text().splitlines()
    peers = {line.split("peer=")[1].split()[0] for line in lines if "event=entries_" in line}
    return len(peers) == count


def answers_in_stop(instance, workers, path, *, model="m1", limit_ms=None):
    """Send requests from before the signal until the port closes; return what came of them."""
    stop_at = time.monotonic() + 1.0
    workers[1].opens_at += stop_at
    events = EVENTS if path.startswith("/live/") else 0

    def call(number):
        share = number / (CALLERS - 1)
        at = stop_at + FIRST_SECONDS + (LAST_SECONDS - FIRST_SECONDS) * share
        request = f"early{number}"
        pieces = split_request(request, path, events=events, limit_ms=limit_ms)
        data = b"".join(pieces).replace(b"Name: m1", f"Name: {model}".encode())
        return send_late(instance.ports[0], request, at, [Part(at, data)])

    with ThreadPoolExecutor(CALLERS) as pool:
        answers = [pool.submit(call, number) for number in range(CALLERS)]
        time.sleep(max(0.0, stop_at - time.monotonic()))
        instance.process.send_signal(signal.SIGTERM)
        return [answer.result() for answer in answers]


def check(answers, workers):
    """Check that what ran was answered whole, and that the rest was refused as not run."""
    ran = {*itertools.chain.from_iterable(worker.runs for worker in workers)}
    assert [one for one in answers if one.request in ran and one.status != 200] == []
    assert [one for one in answers if one.status == 200 and not one.whole] == []
    refused = [one for one in answers if one.status == 503]
    assert [one for one in refused if one.request in ran or not one.retry_after] == []
    assert {one.status for one in answers} <= {None, 200, 503}
    return ran, refused


def check_all_refused(instance, answers, workers):
    ran, refused = check(answers, workers)
    assert (len(ran), len(refused)) == (0, CALLERS)
    assert instance.log.read_bytes().count(b"outcome=stopping") == CALLERS


@pytest.mark.parametrize("path", ["/unsafe/x", "/safe/x"])
def test_request_that_waits_for_a_throttled_worker_is_not_sent_too_late(deployment, workers, path):
    """Guards against requests that a worker takes when they can no longer end."""
    instance = started(deployment)
    workers[1].opens_at = OPENS_SECONDS
    answers = answers_in_stop(instance, workers, path)
    assert instance.process.wait(15.0) == 0
    check_all_refused(instance, answers, workers)


def test_request_that_waits_for_a_load_is_not_sent_too_late(deployment, workers):
    """Guards against streams that begin as their weights are loaded, and can no longer end."""
    leader = started(deployment, "two")
    until(lambda: deployment.leader() == "two", "a leader")
    instance = started(deployment)
    until(lambda: knows_peers(leader, 1) and knows_peers(instance, 1), "the peers")
    answers = answers_in_stop(instance, workers, "/live/x", model="m2")
    assert instance.process.wait(15.0) == 0
    check_all_refused(instance, answers, workers)


@pytest.mark.parametrize("path", ["/unsafe/x", "/live/x"])
def test_connection_that_waits_for_a_thread_is_answered_whole_or_not_run(deployment, workers, path):
    """Guards against requests that are read, late, from connections beyond the threads."""
    instance = started(deployment, request_threads=LEAST_THREADS)
    answers = answers_in_stop(instance, workers, path)
    assert instance.process.wait(15.0) == 0
    ran, _ = check(answers, workers)
    assert ran


@pytest.mark.parametrize("path", ["/unsafe/x", "/safe/x"])
def test_requests_passed_on_to_an_instance_that_stops_are_served_elsewhere(
    deployment, workers, path
):
    """Guards against refusals of a stopping peer that end as answers to callers."""
    fleet = [started(deployment, name) for name in ("one", "two", "three")]
    until(lambda: all(knows_peers(one, 2) for one in fleet), "the peers of each instance")
    workers[1].run_seconds = 0.1
    deployment.cut(fleet[0], PathFault.RESET)
    numbers = itertools.count()

    def ask():
        request, now = f"peers{next(numbers)}", time.monotonic()
        data = b"".join(split_request(request, path))
        return send_late(fleet[0].ports[0], request, now, [Part(now, data)])

    def loses_path():
        # Two workers that are not reached show that the path is lost.
        ask()
        fleet[0].request_stream("m1", 1, request="before")
        return b"event=path_lost" in fleet[0].log.read_bytes()

    until(loses_path, "the loss of the path")
    until(lambda: ask().status == 200, "an answer through a peer")
    ends_at = time.monotonic() + PEER_CALLS_SECONDS

    def call(_):
        answers = []
        while time.monotonic() < ends_at:
            answers.append(ask())
            time.sleep(0.05)
        return answers

    fleet[1].process.send_signal(signal.SIGTERM)
    with ThreadPoolExecutor(PEER_CALLERS) as pool:
        answers = [*itertools.chain.from_iterable(pool.map(call, range(PEER_CALLERS)))]
    assert [one for one in answers if one.status != 200 or not one.whole] == []
