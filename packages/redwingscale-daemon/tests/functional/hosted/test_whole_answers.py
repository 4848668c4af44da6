"""The faults of the soak that leave a worker sound, and the check of its whole answers."""

import http.client
import socket
import threading
import time
from types import SimpleNamespace

import pytest
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_daemon._internal.utils.sockets import RESET_ON_CLOSE
from redwingscale_standins.hosted.model_worker import ModelWorker, StreamPause
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.faulty_link import FaultyLink
from redwingscale_standins.soak.ledger import Break, Ledger, RequestResult, Run
from redwingscale_standins.soak.lost_path import PathCut
from redwingscale_standins.soak.whole_answers import check_whole_answers

EVENTS = 6
PAUSE_SECONDS = 0.6
DELAY_SECONDS = 0.5
PROCESS, OTHER_PROCESS = 41, 42
# The answer was sent at 0 s, ran from 1 s at w1, and was cut after 3 s, with a limit of 8 s.
RESULT = RequestResult(
    request="r1", kind="stream", path="/live/x", body=b"", instance="n1", status=200,
    sent_at=0.0, ended_at=3.0, disconnected=False, undisturbed_since=0.0, process=PROCESS,
    complete=False, limit_seconds=8.0, stall_seconds=0.0,
)  # fmt: skip
RUN = Run("w1", "/live/x", b"", 1.0)


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


def test_resets_are_delayed_like_bytes(worker):
    # Guards against measured overlaps of runs that leave out the way of the reset.
    link = FaultyLink(worker.port)
    connection = socket.create_connection(("127.0.0.1", link.port), timeout=10.0)
    until(lambda: bool(link._open), "the connection")
    link.delay_seconds = DELAY_SECONDS
    connection.setsockopt(*RESET_ON_CLOSE)
    begun = time.monotonic()
    connection.close()
    until(lambda: not link._open, "the reset")
    assert time.monotonic() - begun >= DELAY_SECONDS
    link.close()


def test_stalled_link_opens_no_connection(worker):
    # Guards against a slow path on which a loopback connection opens at once.
    link = FaultyLink(worker.port)
    link.stall_new()
    for _ in range(3):
        with pytest.raises(TimeoutError):
            socket.create_connection(("127.0.0.1", link.port), timeout=DELAY_SECONDS)
    link.close()


def _findings(result=RESULT, runs=(RUN,), breaks=(), path_cuts=(), no_room=()):
    ledger = Ledger()
    ledger.results.append(result)
    ledger.runs[result.request] += runs
    ledger.breaks += breaks
    ledger.no_room |= set(no_room)
    check_whole_answers(SimpleNamespace(ledger=ledger, path_cuts=list(path_cuts)))
    return ledger.findings


EXCUSES = {
    "whole": {"result": RESULT._replace(complete=True)},
    "not run": {"runs": ()},
    "caller left": {"result": RESULT._replace(disconnected=True)},
    "deadline": {"result": RESULT._replace(ended_at=8.0)},
    "worker ended": {"breaks": [Break("w1", 2.0, 2.1)]},
    "worker ended with the request in flight": {"breaks": [Break("w1", 0.9, 0.95)]},
    "instance ended": {"breaks": [Break(PROCESS, 2.0, 2.1)]},
    "relaying instance ended": {
        "breaks": [Break(OTHER_PROCESS, 2.0, 2.1)],
        "path_cuts": [PathCut("n1", 0.5, 5.0, True)],
    },
    "resumed, then the next worker ended": {
        "runs": (RUN, Run("w2", "/live/x", b"", 2.0)),
        "breaks": [Break("w2", 2.5, 2.6)],
    },
    "ended, and the next worker had no room": {
        "runs": (RUN, Run("w2", "/live/x", b"", 2.0)),
        "breaks": [Break("w1", 1.5, 1.6)],
        "no_room": [("r1", "w2")],
    },
}
FAULTS = {
    "nothing ended": {},
    "no status": {"result": RESULT._replace(status=None)},
    "slow caller": {"result": RESULT._replace(stall_seconds=2.0)},
    "shortly before the deadline": {"result": RESULT._replace(ended_at=7.7)},
    "another worker ended": {"breaks": [Break("w2", 2.0, 2.1)]},
    "worker ended before the run": {"breaks": [Break("w1", 0.1, 0.5)]},
    "worker ended after the cut": {"breaks": [Break("w1", 3.1, 3.2)]},
    "another instance ended": {"breaks": [Break(OTHER_PROCESS, 2.0, 2.1)]},
    "another instance ended while a third had no path": {
        "breaks": [Break(OTHER_PROCESS, 2.0, 2.1)],
        "path_cuts": [PathCut("n3", 0.5, 5.0, True)],
    },
    "path lost, but nothing ended": {"path_cuts": [PathCut("n1", 0.5, 5.0, True)]},
    "the first worker ended, the next goes on": {
        "runs": (RUN, Run("w2", "/live/x", b"", 2.0)),
        "breaks": [Break("w1", 1.5, 1.6)],
    },
}


@pytest.mark.parametrize("case", EXCUSES)
def test_excused(case):
    # Guards against false findings, which would hide the true ones.
    assert _findings(**EXCUSES[case]) == []


@pytest.mark.parametrize("case", FAULTS)
def test_found(case):
    # Guards against answers that are cut unnoticed beside a fault that has not ended them.
    assert len(_findings(**FAULTS[case])) == 1
