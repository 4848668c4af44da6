"""Requests that reach an instance late in its grace period, on connections opened before."""

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

GRACE_SECONDS = 8
RUN_SECONDS = 1.2
EVENTS = 12
CALLERS = 24
# Before this time after the signal the port is still open; the process ends after the last one.
FIRST_SECONDS, LAST_SECONDS = 2.6, 7.3
OPENED_BEFORE_SECONDS, OPENED_UNTIL_SECONDS = 0.5, 1.9
PATHS = {"stream": "/live/x", "unsafe": "/unsafe/x"}
# Which parts of a request, two halves of its head and its body, are sent as it is opened.
SENT_EARLY = {"nothing": 0, "half the head": 1, "the head": 2}


@pytest.fixture
def workers(deployment):
    """One model worker and one plain worker."""
    deployment.rows.put("op", "config", mixed_document(1))
    gap = RUN_SECONDS / EVENTS
    made = [
        MixedWorker("w1", {"m1": set()}, RUN_SECONDS, WorkerTiming(gap=gap)),
        deployment.plain_worker(MixedWorker("p1", {}, RUN_SECONDS)),
    ]
    port = deployment._serve(made[0])
    deployment.rows.put("servers", "w1", deployment.entry(made[0], port))
    return made


@pytest.fixture
def instance(deployment, workers):
    started = deployment.instance("one", stop_grace=GRACE_SECONDS, request_threads=64)
    until(lambda: b"upstream=p1" in started.log.read_bytes(), "the plain worker")
    return started


def spread(first, last, number):
    return first + (last - first) * number / (CALLERS - 1)


def late_answers(instance, path, early):
    """Stop the instance while callers send the rest of their requests one after the other."""
    stop_at = time.monotonic() + OPENED_BEFORE_SECONDS + 0.2
    events = EVENTS if path == PATHS["stream"] else 0

    def call(number):
        request = f"late{number}"
        pieces = split_request(request, path, events=events)
        opens_at = stop_at + spread(-OPENED_BEFORE_SECONDS, OPENED_UNTIL_SECONDS, number)
        late_at = stop_at + spread(FIRST_SECONDS, LAST_SECONDS, number)
        parts = [Part(opens_at, piece) for piece in pieces[:early]]
        parts += [Part(late_at, b"".join(pieces[early:]))]
        return send_late(instance.ports[0], request, opens_at, parts)

    with ThreadPoolExecutor(CALLERS) as pool:
        answers = [pool.submit(call, number) for number in range(CALLERS)]
        time.sleep(max(0.0, stop_at - time.monotonic()))
        instance.process.send_signal(signal.SIGTERM)
        return [answer.result() for answer in answers]


@pytest.mark.parametrize("early", SENT_EARLY)
@pytest.mark.parametrize("kind", PATHS)
def test_request_that_comes_late_in_a_stop_is_answered_whole_or_not_run(
    instance, workers, kind, early
):
    """Guards against a request taken when it can no longer end, and cut as the process ends."""
    answers = late_answers(instance, PATHS[kind], SENT_EARLY[early])
    assert instance.process.wait(15.0) == 0
    ran = {*itertools.chain.from_iterable(worker.runs for worker in workers)}
    # A head that has not come whole in time is refused with 408.
    refused = [one for one in answers if one.status in {408, 503}]
    assert [one for one in answers if one.request in ran and not one.whole] == []
    assert [one for one in refused if one.request in ran or not one.whole] == []
    assert [one for one in refused if one.status == 503 and not one.retry_after] == []
    assert {one.status for one in answers} <= {None, 200, 408, 503}
