"""Leaving upstreams get no new work, and a stopping instance finishes open requests."""

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from redwingscale_common.utils.digests import sha256_hex
from redwingscale_standins.engine.generation import answer_text
from redwingscale_standins.launcher.client import Client, demo_token
from redwingscale_standins.launcher.deployment import Speed
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, PlainShape, Shape

CALLER = "portal"
MODEL = "m"
STREAMS = 100
MAX_DETECTION_SECONDS = 3.0
TEXT = json.dumps(
    {
        "deployment": "leaving",
        "callers": {CALLER: {"token_sha256": sha256_hex(demo_token(CALLER).encode())}},
        "models": {MODEL: {"serving": "v1", "versions": {"v1": {"size_bytes": GIGABYTE}}}},
        "services": {
            "text": {"kind": "model", "callers": [CALLER], "depends_on": [{"model": MODEL}]},
            "bids": {"kind": "plain", "callers": [CALLER]},
        },
    }
)
SHAPE = Shape(
    name="leaving",
    region="aegean",
    instances_by_id={"one": "a", "two": "b"},
    engines=tuple(EngineShape(f"engine-{d}", d, "alder", 1, 4 * GIGABYTE) for d in "ab"),
    plain=(PlainShape("bids-1", "a", "bids"), PlainShape("bids-2", "a", "bids")),
    full_speed_loads=7,
)


@pytest.fixture
def client(make_deployment):
    speed = Speed(400e9, token_gap_seconds=0.02, report_lag_seconds=0.1, slots=STREAMS)
    deployment = make_deployment(SHAPE, speed)
    made = Client(deployment)
    made.apply("one", TEXT)
    for instance in SHAPE.instances_by_id:
        made.wait_for(lambda i=instance: count_engines(made, i) == 2, "both engines")
        made.wait_for(lambda i=instance: bid(made, i).status == 200, "the plain service")
    return made


def count_engines(client, instance):
    models = client.operate(instance, "GET", "/models").document
    return len(models.get(f"{MODEL}@v1", {"engines": []})["engines"])


def bid(client, instance):
    return client.post(instance, "/services/bids/x", CALLER, {})


def record(client, member):
    url = client._deployment.members_by_id[member].admin_url
    return urllib3.request("GET", f"{url}/admin/record").json()


def test_leaving_plain_service_gets_no_new_calls(client):
    """An upstream reports that it is leaving while the platform's list shows it as live.

    Calls sent to it afterwards would be cut off when it ends.
    """
    deployment = client._deployment
    deployment.set_faults("bids-1", phase="leaving")
    time.sleep(MAX_DETECTION_SECONDS)
    runs = len(record(client, "bids-1"))

    statuses = {bid(client, i).status for _ in range(20) for i in SHAPE.instances_by_id}

    assert statuses == {200}
    assert len(record(client, "bids-1")) == runs


def test_leaving_engine_gets_no_new_requests(client):
    """An engine reports that it is leaving while the platform's list shows it as live.

    Only its owner polls it; the other instance must be notified in time.
    """
    deployment = client._deployment
    deployment.set_faults("engine-a", leaving=True)
    time.sleep(MAX_DETECTION_SECONDS)
    started = record(client, "engine-a")["started"]

    answers = [
        client.complete(i, CALLER, MODEL, f"lot {n}", 3)
        for n in range(10)
        for i in SHAPE.instances_by_id
    ]

    assert all(a.text for a in answers)
    assert record(client, "engine-a")["started"] == started


def test_call_is_not_run_when_all_upstreams_are_leaving(client):
    for member in ("bids-1", "bids-2"):
        client._deployment.set_faults(member, phase="leaving")
    client.wait_for(lambda: bid(client, "one").status == 503, "the refusal")

    assert bid(client, "one").document["run"] == "not_run"


def test_stopping_instance_finishes_open_streams(client):
    """An operator stops an instance that has a hundred open streams.

    It becomes unready first, finishes every stream, releases its leases and exits with
    0. A caller whose stream was cut off would have lost its response.
    """
    member = client._deployment.members_by_id["one"]
    status = client.operate

    def is_ready():
        return urllib3.request("GET", member.urls_by_name["callers_url"] + "/readyz").status == 200

    with ThreadPoolExecutor(STREAMS) as pool:
        sent = [
            pool.submit(client.complete, "one", CALLER, MODEL, f"lot {n}", 150)
            for n in range(STREAMS)
        ]
        client.wait_for(
            lambda: status("one", "GET", "/status").document["open_requests"] == STREAMS,
            "all streams",
        )
        assert is_ready()
        member.process.signal(signal.SIGTERM)
        client.wait_for(lambda: not is_ready(), "unreadiness")
        assert status("one", "GET", "/status").document["open_requests"] == STREAMS
        texts = [f.result().text for f in sent]

    assert texts == [answer_text(f"{MODEL}@v1", f"lot {n}", 150) for n in range(STREAMS)]
    assert member.process.wait(20.0) == 0
    url = f"{client._deployment.platform_url}/table/scan?prefix=owners/"
    owners = urllib3.request("GET", url).json()
    assert "one" not in [value["holder"] for _, value, _ in owners.values()]


def test_non_idempotent_generation_finishes_after_its_caller_disconnects(client):
    """A caller of a non-idempotent generation disconnects in mid-stream and retries.

    The retry goes through the other instance. The engines must have run the generation
    once, and the retry gets the whole text.
    """
    member = client._deployment.members_by_id["one"]
    headers = {
        "Authorization": f"Bearer {demo_token(CALLER)}",
        "Idempotency-Key": "notice-1",
        "X-Idempotent": "false",
    }
    body = {"model": MODEL, "prompt": "notice", "max_tokens": 40, "stream": True}
    url = member.urls_by_name["callers_url"] + "/v1/completions"
    stream = urllib3.request("POST", url, json=body, headers=headers, preload_content=False)
    next(stream.stream(64))
    stream.close()
    started = sum(record(client, e.id)["started"] for e in SHAPE.engines)

    repeats = []

    def text_is_kept():
        repeats.append(client.post("two", "/v1/completions", CALLER, body, headers))
        return repeats[-1].status == 200

    client.wait_for(text_is_kept, "the kept text")

    assert {r.document["run"] for r in repeats[:-1]} <= {"unknown"}
    lines = [x[6:] for x in repeats[-1].body.decode().splitlines() if x.startswith("data: ")]
    text = "".join(json.loads(x)["choices"][0]["text"] for x in lines[:-1])
    assert (lines[-1], text) == ("[DONE]", answer_text(f"{MODEL}@v1", "notice", 40))
    assert sum(record(client, e.id)["started"] for e in SHAPE.engines) == started
