"""Stand-ins that are silent, or whose bytes are late, while they go on."""

import http.client
import threading
import time

import pytest
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_standins.hosted.model_worker import ModelWorker, StreamPause
from redwingscale_standins.soak.faulty_link import FaultyLink

EVENTS = 6
PAUSE_SECONDS = 0.6
DELAY_SECONDS = 0.5


@pytest.fixture
def worker():
    made = ModelWorker("w1", {"m1": set()})
    server = HttpServer(made, "127.0.0.1", 0, ServerLimits(threads=8))
    server.start()
    made.port = server.port
    yield made
    server.stop()


def _read_times(port):
    """Return the number of events of one stream, and the seconds until each of its lines came."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10.0)
    headers = {
        "X-Redwingscale-Request-Id": "r1",
        "X-Redwingscale-Model-Name": "m1",
        "X-Redwingscale-Token-Usage": f"10,{EVENTS}",
    }
    begun = time.monotonic()
    connection.request("POST", "/live/x", body=b"{}", headers=headers)
    response = connection.getresponse()
    lines = [(line, time.monotonic() - begun) for line in response]
    connection.close()
    return sum(line.startswith(b"id: ") for line, _ in lines), [at for _, at in lines]


def _longest_gap(times):
    return max(after - before for before, after in zip(times, times[1:], strict=False))


def test_worker_pauses_in_every_second_run_and_goes_on(worker):
    # Guards against a stand-in that breaks off or ends early where it should only be silent,
    # which would excuse a relay that gives up sound workers.
    worker.pause = StreamPause(PAUSE_SECONDS, after_events=2, every=2)
    runs = [_read_times(worker.port) for _ in range(4)]
    assert [events for events, _ in runs] == [EVENTS] * 4
    paused = [_longest_gap(times) > PAUSE_SECONDS / 2 for _, times in runs]
    assert paused == [False, True, False, True]


def test_worker_has_finished_while_its_bytes_are_in_flight(worker):
    # Guards against a delay that slows the worker down, so that a relay never reads the
    # stream of a worker that has finished.
    link = FaultyLink(worker.port)
    link.delay_from_seconds = DELAY_SECONDS
    read = []
    reader = threading.Thread(target=lambda: read.append(_read_times(link.port)))
    reader.start()
    time.sleep(DELAY_SECONDS / 2)
    assert worker.runs == ["r1"]
    assert worker.running == 0
    assert read == []
    reader.join(10.0)
    events, times = read[0]
    assert events == EVENTS
    assert times[0] >= DELAY_SECONDS
    link.close()
