"""Invalid input gets a problem document, reaches no upstream, and stops no instance."""

import json
import socket
import time
from urllib.parse import urlsplit

import pytest
import urllib3
from redwingscale_standins.launcher.client import Client, demo_token
from redwingscale_standins.launcher.shape import PlainShape, Shape

BODY_LIMIT = 10_000
SENDER_SECONDS = 1
SHAPE = Shape("bad", "aegean", {"one": "a"}, (), (PlainShape("bids", "a", "bidding-portal"),), 7)
SETTINGS = {
    "limits": {
        "body_bytes": BODY_LIMIT,
        "sender_timeout_seconds": SENDER_SECONDS,
        "request_threads": 8,
    },
    "timing": {"configuration_poll": 0.5, "member_poll": 0.2, "balancer_drain": 0.1},
}
PATH = "/services/bidding-portal/bids"
HEAD = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {demo_token('portal')}\r\n"


@pytest.fixture
def client(make_deployment, izmir_text):
    deployment = make_deployment(SHAPE, settings=SETTINGS)
    made = Client(deployment)
    made.apply("one", izmir_text)
    made.wait_for(lambda: service_responds(made), "the service through the instance")
    return made


def service_responds(client):
    # A kept connection may expire as it is used: some cases last as long as it may be idle.
    headers = {"Connection": "close"}
    return client.post("one", PATH, "portal", {"ping": 1}, headers).status == 200


def calls_run(client):
    url = client._deployment.members_by_id["bids"].admin_url
    record = urllib3.request("GET", f"{url}/admin/record").json()
    return [r for r in record if "ping" not in r["body"]]


def exchange(client, *parts, pause=0.0):
    """Send raw bytes; return the status and the problem document of the response."""
    address = urlsplit(client._deployment.members_by_id["one"].urls_by_name["callers_url"])
    with socket.create_connection((address.hostname, address.port), timeout=20) as connection:
        for part in parts:
            try:
                connection.sendall(part.encode() if isinstance(part, str) else part)
            except OSError:
                break
            time.sleep(pause)
        answer = b""
        while chunk := connection.recv(65536):
            answer += chunk
            if is_complete(answer):
                break
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"application/problem+json" in head, answer
    return int(head.split()[1]), json.loads(body)


def is_complete(answer):
    head, separator, body = answer.partition(b"\r\n\r\n")
    lengths = [int(x[15:]) for x in head.lower().split(b"\r\n") if x.startswith(b"content-length:")]
    return bool(separator and lengths and len(body) >= lengths[0])


CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
MALFORMED_REQUESTS = {
    "a body over the limit": (413, (HEAD, f"Content-Length: {BODY_LIMIT + 1}\r\n\r\n", "x" * 9000)),
    "a body of a terabyte": (413, (HEAD, "Content-Length: 1099511627776\r\n\r\n", "x" * 9000)),
    "a chunked body over the limit": (413, (HEAD, CHUNKED, "182b8\r\n", "x" * 99000)),
    "one huge chunk": (413, (HEAD, CHUNKED, "ffffffffff\r\n", "x" * 9000)),
    "a chunk without a size": (400, (HEAD, CHUNKED, "zz\r\nhello\r\n")),
    "a body that never comes": (408, (HEAD, "Content-Length: 50\r\n\r\n", "{")),
    "a head that never ends": (408, (HEAD,)),
    "a head without end": (413, (HEAD, *("X-A: " + "a" * 9000 + "\r\n" for _ in range(12)))),
    "no HTTP": (400, ("hello\r\n\r\n",)),
    "a query that is not UTF-8": (404, ("GET /v1/models?%ff=%ff HTTP/1.1\r\nHost: x\r\n\r\n",)),
    "a query that names an argument": (
        401,
        ("GET /v1/models?self=1 HTTP/1.1\r\nHost: x\r\n\r\n",),
    ),
    "a negative length": (400, (HEAD, "Content-Length: -5\r\n\r\n")),
    "no token": (401, (f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{{}}",)),
    "no token, huge body": (
        401,
        (f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 1099511627776\r\n\r\n", "x" * 9000),
    ),
}


@pytest.mark.parametrize("case", MALFORMED_REQUESTS)
def test_malformed_request_is_refused_and_the_instance_keeps_serving(client, case):
    status, parts = MALFORMED_REQUESTS[case]

    answered, document = exchange(client, *parts)

    assert (answered, document["status"], document["run"]) == (status, status, "not_run")
    assert calls_run(client) == []
    assert service_responds(client)


def test_trickling_senders_do_not_block_all_threads(client):
    """More callers than threads each send a byte now and then, so no read times out.

    Guards against a timeout per read only: every thread would wait for hours and the
    instance would serve no one. The timeout applies to the whole request.
    """
    address = urlsplit(client._deployment.members_by_id["one"].urls_by_name["callers_url"])
    senders = [socket.create_connection((address.hostname, address.port)) for _ in range(12)]
    for sender in senders:
        sender.sendall((HEAD + "Content-Length: 500\r\n\r\n").encode())
    for _ in range(10):
        time.sleep(SENDER_SECONDS / 4)
        for sender in senders:
            try:
                sender.sendall(b"x")
            except OSError:
                continue

    assert service_responds(client)
    assert all(b" 408 " in sender.recv(65536) for sender in senders)
    assert calls_run(client) == []
    for sender in senders:
        sender.close()


@pytest.mark.parametrize(
    ("path", "caller", "body", "headers", "status", "code"),
    [
        (PATH, "nobody", {}, {}, 401, "token_unknown"),
        (PATH, "clerks", {}, {}, 404, "service_unknown"),
        ("/services/none/bids", "portal", {}, {}, 404, "service_unknown"),
        (PATH, "portal", {}, {"X-Deadline-Seconds": "-1"}, 408, "deadline_past"),
        (PATH, "portal", {}, {"X-Deadline-Seconds": "nan"}, 400, "header_invalid"),
        (PATH, "portal", {}, {"X-Deadline-Seconds": "soon"}, 400, "header_invalid"),
        (PATH, "portal", {}, {"X-Idempotent": "perhaps"}, 400, "header_invalid"),
        (PATH, "portal", {}, {"Idempotency-Key": "k" * 300}, 400, "header_invalid"),
        ("/v1/completions", "portal", {"model": 7}, {}, 400, "body_invalid"),
        ("/v1/completions", "portal", {"model": "none", "prompt": "x"}, {}, 404, "model_unknown"),
        (
            "/v1/completions",
            "registrars",
            {"model": "listing-vetter", "prompt": "x"},
            {},
            404,
            "model_unknown",
        ),
        (
            "/v1/chat/completions",
            "clerks",
            {"model": "listing-vetter", "messages": []},
            {},
            400,
            "body_invalid",
        ),
        (
            "/v1/completions",
            "clerks",
            {"model": "listing-vetter", "prompt": "x", "max_tokens": 0},
            {},
            400,
            "body_invalid",
        ),
        ("/v1/nothing", "portal", {}, {}, 404, "path_unknown"),
    ],
)
def test_request_that_cannot_be_served_is_refused(
    client, path, caller, body, headers, status, code
):
    answer = client.post("one", path, caller, body, headers)

    assert (answer.status, answer.headers["Content-Type"]) == (status, "application/problem+json")
    assert answer.document["type"].endswith(f":{code}")
    assert answer.document["run"] == "not_run"
    assert calls_run(client) == []
