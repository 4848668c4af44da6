"""Requests that reach the product's own interface late in a planned stop."""

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from redwingscale_common.utils.digests import sha256_hex
from redwingscale_standins.hosted.conversation import Conversation
from redwingscale_standins.hosted.late_caller import Part
from redwingscale_standins.launcher.client import Client, demo_token
from redwingscale_standins.launcher.deployment import Speed
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, PlainShape, Shape

CALLER, MODEL = "portal", "m"
CALLERS = 20
RUN_SECONDS, TOKENS = 0.8, 40
OPENED_BEFORE_SECONDS = 0.4
# The drain of an idle instance ends, and its port closes, before the first of these.
FIRST_SECONDS, LAST_SECONDS = 1.0, 4.0
BODY_SECONDS = 1.5
TEXT = json.dumps(
    {
        "deployment": "late",
        "callers": {CALLER: {"token_sha256": sha256_hex(demo_token(CALLER).encode())}},
        "models": {MODEL: {"serving": "v1", "versions": {"v1": {"size_bytes": GIGABYTE}}}},
        "services": {
            "text": {"kind": "model", "callers": [CALLER], "depends_on": [{"model": MODEL}]},
            "bids": {"kind": "plain", "callers": [CALLER]},
        },
    }
)
SHAPE = Shape(
    name="late",
    region="aegean",
    instances_by_id={"one": "a"},
    engines=(EngineShape("engine-a", "a", "alder", 1, 4 * GIGABYTE),),
    plain=(PlainShape("bids-1", "a", "bids"),),
    full_speed_loads=7,
)
SHAPES = ("nothing early", "half the head early", "the head early", "body after the head")


@pytest.fixture
def client(make_deployment):
    speed = Speed(400e9, token_gap_seconds=RUN_SECONDS / TOKENS, slots=CALLERS * 2)
    deployment = make_deployment(SHAPE, speed)
    made = Client(deployment)
    made.apply("one", TEXT)
    made.wait_until_resident("one", {f"{MODEL}@v1"})
    made.wait_for(lambda: made.post("one", "/services/bids/x", CALLER, {}).status == 200, "bids")
    deployment.set_faults("bids-1", slow_seconds=RUN_SECONDS)
    return made


def pieces(request, number):
    """Return three parts of a request: a plain call, or a stream if its number is even."""
    path, body = "/services/bids/x", {"request": request}
    if not number % 2:
        path = "/v1/completions"
        body = {"model": MODEL, "prompt": request, "max_tokens": TOKENS, "stream": True}
    data = json.dumps(body).encode()
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: one",
        f"Authorization: Bearer {demo_token(CALLER)}",
        "X-Idempotent: false",
        f"Content-Length: {len(data)}",
    ]
    if number % 4 < 2:
        lines.append(f"Idempotency-Key: {request}")
    head = "\r\n".join([*lines, "", ""]).encode()
    return head[: len(head) // 2], head[len(head) // 2 :], data


def schedule(shape, parts, opens_at, late_at):
    """Return when the three parts of a request are sent, in the way that ``shape`` names."""
    match shape:
        case "nothing early":
            return [Part(late_at, b"".join(parts))]
        case "half the head early":
            return [Part(opens_at, parts[0]), Part(late_at, parts[1] + parts[2])]
        case "the head early":
            return [Part(opens_at, parts[0] + parts[1]), Part(late_at, parts[2])]
        case "body after the head":
            body_at = late_at + BODY_SECONDS
            return [Part(late_at, parts[0] + parts[1]), Part(body_at, parts[2])]
    raise AssertionError(shape)


def late_answers(member, shape):
    """Stop an instance while callers send the rest of their requests one after the other."""
    port = urllib3.util.parse_url(member.urls_by_name["callers_url"]).port
    stop_at = time.monotonic() + OPENED_BEFORE_SECONDS + 0.2

    def call(number):
        request = f"late{number}"
        opens_at = stop_at - OPENED_BEFORE_SECONDS
        step = (LAST_SECONDS - FIRST_SECONDS) / (CALLERS - 1)
        sent = schedule(
            shape, pieces(request, number), opens_at, stop_at + FIRST_SECONDS + step * number
        )
        return Conversation(port, sent, {len(sent) - 1: request}).run(opens_at)

    with ThreadPoolExecutor(CALLERS) as pool:
        answers = [pool.submit(call, number) for number in range(CALLERS)]
        time.sleep(max(0.0, stop_at - time.monotonic()))
        member.process.signal(signal.SIGTERM)
        return [answer.result()[0] for answer in answers]


def count_runs(client):
    """Return the calls and the streams that were run."""

    def record(member):
        url = client._deployment.members_by_id[member].admin_url
        return urllib3.request("GET", f"{url}/admin/record").json()

    calls = [json.loads(run["body"]).get("request") for run in record("bids-1")]
    return {one for one in calls if one}, record("engine-a")["started"]


@pytest.mark.parametrize("shape", SHAPES)
def test_request_that_comes_late_in_a_stop_is_answered_whole_or_not_run(client, shape):
    """Guards against requests that are run and cut, or refused with 400, as the process ends.

    After 400 a caller does not try another instance.
    """
    member = client._deployment.members_by_id["one"]
    started = count_runs(client)[1]
    answers = late_answers(member, shape)
    assert member.process.wait(20.0) == 0
    calls, streams = count_runs(client)
    whole = {one.request for one in answers if one.status == 200 and one.whole}
    plain = {f"late{number}" for number in range(1, CALLERS, 2)}
    assert calls == whole & plain
    assert streams - started == len(whole - plain)
    assert [one for one in answers if one.status and not one.whole] == []
    assert {one.status for one in answers} <= {None, 200, 408, 503}
