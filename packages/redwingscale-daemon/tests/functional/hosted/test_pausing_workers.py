"""Workers that fall silent in the middle of a stream: those that go on, and those that do not."""

import itertools
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from redwingscale_standins.hosted.documents import HOST, document
from redwingscale_standins.hosted.model_worker import StreamPause, WorkerTiming
from redwingscale_standins.hosted.waiting import until

INSTANCES = ("one", "two", "three")
EVENTS = 24
# A stream takes 2.4 s without its pause.
TIMING = WorkerTiming(gap=0.1)
PAUSE_SECONDS = 2.5
DEADLINE_MS = 10_000
VERSION_SECONDS = 0.8
# All of them at one worker leave threads of its server for reports.
STREAMS_EACH = 6
# Ends no run before the deadline of its request.
FOR_GOOD_SECONDS = 20.0
LEAST_LOST_SECONDS = 2.0
WHOLE = (200, [*range(1, EVENTS + 1)])


def request(instance, number):
    """Return the status and the event ids of one stream; the status is 0 if it was cut."""
    headers = {
        "Host": HOST,
        "X-Redwingscale-Request-Id": f"{instance.name}-{number}",
        "X-Redwingscale-Model-Name": "m1",
        "X-Redwingscale-Token-Usage": f"10,{EVENTS}",
        "X-Redwingscale-Deadline-Ms": str(DEADLINE_MS),
    }
    url = f"http://127.0.0.1:{instance.ports[0]}/live/x"
    try:
        answer = urllib3.request(
            "POST", url, body=b"{}", headers=headers, retries=False, timeout=20.0
        )
    except urllib3.exceptions.HTTPError:
        return 0, []
    lines = answer.data.decode().splitlines()
    return answer.status, [int(line[4:]) for line in lines if line.startswith("id: ")]


@pytest.fixture
def versions(deployment):
    """Write a version with another time limit again and again while the test runs."""
    ended = threading.Event()

    def write():
        for version in itertools.count(2):
            if ended.wait(VERSION_SECONDS):
                return
            changed = document(version)
            for route in changed["Routes"]:
                route["TimeoutMs"] = 15_000 if version % 2 else 20_000
            deployment.rows.put("op", "config", changed)

    thread = threading.Thread(target=write, daemon=True)
    thread.start()
    yield
    ended.set()
    thread.join()


def start(deployment, workers, pause, **bounds):
    for number in range(workers):
        deployment.worker(f"w{number}", "m1", timing=TIMING).pause = pause
    for name in INSTANCES:
        deployment.instance(name, **bounds)
    until(lambda: deployment.leader() in INSTANCES, "a leader")


def answers(deployment, streams_each=STREAMS_EACH):
    """Return the answers to streams that are open at all instances at once."""
    asked = list(itertools.product(deployment.instances, range(streams_each)))
    with ThreadPoolExecutor(len(asked)) as pool:
        return list(pool.map(lambda one: request(*one), asked))


def test_stream_of_the_only_holder_is_whole_after_its_pause(deployment, versions):
    """Guards against a stream that is given up although nobody else can go on with it."""
    start(deployment, 1, StreamPause(PAUSE_SECONDS))
    assert set(map(str, answers(deployment))) == {str(WHOLE)}
    assert len(deployment.workers["w0"].runs) == len(INSTANCES) * STREAMS_EACH


def test_streams_are_whole_when_all_workers_pause(deployment, versions):
    """Guards against a second upstream that is given up like the first one."""
    start(deployment, 6, StreamPause(PAUSE_SECONDS))
    assert set(map(str, answers(deployment))) == {str(WHOLE)}


def test_streams_are_whole_without_a_repeat_left(deployment, versions):
    """Guards against a stream that is given up before it is known that a repeat is allowed."""
    start(
        deployment,
        6,
        StreamPause(PAUSE_SECONDS, every=2),
        repeat_ratio=0.001,
        repeat_slack=0.001,
    )
    assert set(map(str, answers(deployment))) == {str(WHOLE)}
    assert (
        sum(len(one.runs) for one in deployment.workers.values()) == len(INSTANCES) * STREAMS_EACH
    )


def test_worker_that_stops_for_good_is_left_in_time(deployment, versions):
    """Guards against a stream that waits for a frozen worker while another one could go on."""
    start(deployment, 6, StreamPause(FOR_GOOD_SECONDS, every=2, resumed=False))
    assert set(map(str, answers(deployment))) == {str(WHOLE)}
    gaps = [
        float(line.split(b"longest_gap=")[1].split()[0])
        for instance in deployment.instances
        for line in instance.log.read_bytes().splitlines()
        if b"event=request_ended" in line
    ]
    assert max(gaps) < LEAST_LOST_SECONDS + TIMING.gap
