"""Planned stops of young instances, one after the other and beside other events."""

import itertools
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from redwingscale_standins.hosted.conversation import Conversation
from redwingscale_standins.hosted.documents import HOST, mixed_document
from redwingscale_standins.hosted.late_caller import Part
from redwingscale_standins.hosted.mixed_worker import MixedWorker
from redwingscale_standins.hosted.model_worker import WorkerTiming
from redwingscale_standins.hosted.waiting import until

GRACE_SECONDS = 8
# By the users' rules, a request that was sent until then may still run in the last sixth.
EXCUSED_SENT_SECONDS, EXCUSED_END_SECONDS = 3.0, GRACE_SECONDS * 5 / 6
# The age of an instance at SIGTERM, as in the users' record.
AGE_SECONDS = 2.7
# Callers begin to connect this long before SIGTERM.
LEAD_SECONDS = 0.5
RUN_SECONDS = 0.5
EVENTS = 10
LONG_EVENTS = 200
# Deadlines of requests whose head comes late, and early.
LATE_LIMIT_MS, EARLY_LIMIT_MS = 2000, 6000
EACH = 5
FIRST_SECONDS, LAST_SECONDS = 2.2, 7.2
BODY = b"b" * 6000
PIECES = 6


@pytest.fixture
def workers(deployment):
    """One model worker and one plain worker."""
    deployment.rows.put("op", "config", mixed_document(1))
    timing = WorkerTiming(gap=RUN_SECONDS / EVENTS)
    model = MixedWorker("w1", {"m1": set()}, RUN_SECONDS, timing)
    deployment.rows.put("servers", "w1", deployment.entry(model, deployment._serve(model)))
    return [model, deployment.plain_worker(MixedWorker("p1", {}, RUN_SECONDS))]


def head(request, number, body, limit_ms=None, events=EVENTS):
    """Return the head of a request, a stream if its number is even."""
    lines = [
        f"POST /{'unsafe' if number % 2 else 'live'}/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Redwingscale-Request-Id: {request}",
        body,
    ]
    if not number % 2:
        lines += ["X-Redwingscale-Model-Name: m1", f"X-Redwingscale-Token-Usage: 10,{events}"]
    if limit_ms is not None:
        lines.append(f"X-Redwingscale-Deadline-Ms: {limit_ms}")
    return "\r\n".join([*lines, "", ""]).encode()


SIZED, CHUNKED = f"Content-Length: {len(BODY)}", "Transfer-Encoding: chunked"
EXPECTING = f"{SIZED}\r\nExpect: 100-continue"
LAST_CHUNK = b"0\r\n\r\n"


def as_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def arriving(start, opens_at, late_at, encode=bytes, last=b""):
    """Return the parts of a request whose body arrives over seconds, from early on."""
    size = len(BODY) // PIECES
    step = (late_at - opens_at) / PIECES
    parts = [
        Part(opens_at + step * (n + 1), encode(BODY[n * size : (n + 1) * size]))
        for n in range(PIECES)
    ]
    parts[-1] = Part(parts[-1].at, parts[-1].data + last)
    return [Part(opens_at, start), *parts]


def request_parts(shape, request, number, opens_at, late_at):
    """Return the parts of one request in the way that ``shape`` names."""
    early = EARLY_LIMIT_MS if number % 4 < 2 else None
    late = LATE_LIMIT_MS if number % 4 < 2 else None
    match shape:
        case "nothing early":
            return [Part(late_at, head(request, number, SIZED, late) + BODY)]
        case "late chunks":
            rest = as_chunk(BODY) + LAST_CHUNK
            return [Part(opens_at, head(request, number, CHUNKED, early)), Part(late_at, rest)]
        case "chunks over seconds":
            start = head(request, number, CHUNKED, early)
            return arriving(start, opens_at, late_at, as_chunk, LAST_CHUNK)
        case "body over seconds":
            return arriving(head(request, number, SIZED, early), opens_at, late_at)
        case "expecting":
            return [Part(opens_at, head(request, number, EXPECTING, early)), Part(late_at, BODY)]
        case "expecting late":
            start = head(request, number, EXPECTING, late)
            return [Part(late_at, start), Part(late_at + 0.2, BODY)]
        case "running at the end":
            return [Part(opens_at, head(request, 0, SIZED, events=LONG_EVENTS) + BODY)]
    raise AssertionError(shape)


SHAPES = (
    "nothing early", "late chunks", "chunks over seconds", "body over seconds", "expecting",
    "expecting late", "running at the end",
)  # fmt: skip


def conversations(name, port, stop_at):
    """Return the callers of one stop, each with the time at which it connects."""
    for shape, number in itertools.product(SHAPES, range(EACH)):
        request = f"{name} {shape} {number}".replace(" ", "-")
        part = number / (EACH - 1)
        opens_at = stop_at - 0.3 + 2.2 * part
        late_at = stop_at + FIRST_SECONDS + (LAST_SECONDS - FIRST_SECONDS) * part
        parts = request_parts(shape, request, number, opens_at, late_at)
        yield opens_at, Conversation(port, parts, {len(parts) - 1: request})
    for number in range(EACH):
        first, second = f"{name}-first-{number}", f"{name}-second-{number}"
        opens_at = stop_at + 0.2 + 2.0 * number / (EACH - 1)
        parts = [
            Part(opens_at, head(first, number, SIZED) + BODY),
            Part(opens_at + RUN_SECONDS / 2, head(second, number, SIZED) + BODY),
        ]
        yield opens_at, Conversation(port, parts, {0: first, 1: second})


def stop_under_callers(name, instance, send_signals):
    """Stop an instance under all callers; return their answers and the time of SIGTERM."""
    stop_at = time.monotonic() + LEAD_SECONDS
    talks = list(conversations(name, instance.ports[0], stop_at))
    with ThreadPoolExecutor(len(talks)) as pool:
        answers = [pool.submit(talk.run, opens_at) for opens_at, talk in talks]
        time.sleep(max(0.0, stop_at - time.monotonic()))
        send_signals(instance.process)
        collected = [one for answer in answers for one in answer.result()]
    assert instance.process.wait(15.0) == 0
    return collected, stop_at


def check(answers, stop_at, workers):
    ran = {*itertools.chain.from_iterable(worker.runs for worker in workers)}
    lost = [
        one._replace(sent_at=one.sent_at - stop_at, ended_at=one.ended_at - stop_at)
        for one in answers
        if one.request in ran and not (one.whole and one.status == 200)
    ]
    assert [one for one in lost if not is_excused(one)] == []
    refused = [one for one in answers if one.status in {408, 503}]
    assert [one for one in refused if one.request in ran or not one.whole] == []
    # Guards against a test in which nothing runs that comes after the port has closed.
    late = [one for one in answers if one.status == 200 and one.sent_at > stop_at + 3.0]
    assert late != []


def is_excused(one):
    return one.sent_at <= EXCUSED_SENT_SECONDS and one.ended_at >= EXCUSED_END_SECONDS


def signal_twice(process):
    process.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    process.send_signal(signal.SIGTERM)


def signal_with_reload(process):
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
        process.send_signal(number)


def stop_one(process):
    process.send_signal(signal.SIGTERM)


def start_instance(deployment, name):
    """Start an instance, and return it shortly before the age at which it is stopped."""
    began_at = time.monotonic()
    started = deployment.instance(name, stop_grace=GRACE_SECONDS, request_threads=96)
    until(lambda: b"upstream=p1" in started.log.read_bytes(), "the plain worker")
    await_age(began_at)
    return started


def await_age(began_at):
    time.sleep(max(0.0, began_at + AGE_SECONDS - LEAD_SECONDS - time.monotonic()))


@pytest.mark.parametrize("send_signals", [signal_twice, signal_with_reload])
def test_stop_of_a_young_instance_cuts_nothing_that_ran(deployment, workers, send_signals):
    """Guards against requests that are taken late in a stop and cut as the process ends."""
    instance = start_instance(deployment, "one")
    check(*stop_under_callers("young", instance, send_signals), workers)


def test_stop_while_the_store_is_down_cuts_nothing_that_ran(deployment, workers):
    """Guards against a stop whose times wait for the store."""
    instance = start_instance(deployment, "one")
    deployment.rows.down = True
    check(*stop_under_callers("down", instance, stop_one), workers)


def test_stop_of_the_leader_cuts_nothing_that_ran(deployment, workers):
    """Guards against a stop that a peer's takeover disturbs."""
    leader = start_instance(deployment, "one")
    until(lambda: deployment.leader() == "one", "the leader")
    deployment.instance("two")
    check(*stop_under_callers("leader", leader, stop_one), workers)


def test_stops_in_series_cut_nothing_that_ran(deployment, workers):
    """Guards against a stop that finds another state than the first one of its instance."""
    instance = start_instance(deployment, "one")
    check(*stop_under_callers("series1", instance, stop_one), workers)
    began_at = time.monotonic()
    instance.start()
    until(lambda: instance.status() == 200, "readiness")
    await_age(began_at)
    check(*stop_under_callers("series2", instance, stop_one), workers)
