"""A golden session: a configuration is applied, requests are served or refused, a drain."""

import json
import re

from redwingscale_standins.launcher.client import Client
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, PlainShape, Shape

SHAPE = Shape(
    name="izmir",
    region="aegean",
    instances_by_id={"one": "a", "two": "a"},
    engines=tuple(
        EngineShape(f"engine-{n}", "a", vendor, 2, 400 * GIGABYTE)
        for n, vendor in enumerate(("alder", "birch"))
    ),
    plain=(PlainShape("portal", "a", "bidding-portal"),),
    full_speed_loads=100,
)
CHANGING = re.compile(rb'"created":\d+')


def visible_parts(answer):
    """Return the parts of a response that a caller sees and that are equal in every run."""
    body = CHANGING.sub(b'"created":0', answer.body).decode()
    kept = ("Content-Type", "Retry-After", "X-Request-Id")
    headers = {k: answer.headers[k] for k in kept if k in answer.headers}
    return {"status": answer.status, "headers": headers, "body": body.splitlines()}


def test_a_whole_session(make_deployment, izmir_text, snapshot):
    deployment = make_deployment(SHAPE)
    client = Client(deployment)
    applied = client.apply("one", izmir_text).document
    client.wait_until_resident("two", {"listing-vetter@v1", "listing-vetter@v1:a1"})
    client.wait_for(
        lambda: client.post("two", "/services/bidding-portal/ping", "portal", {}).status == 200,
        "the plain service",
    )

    def ask(name, caller, model, **headers):
        sent = {"X-Request-Id": name} | headers
        body = {"model": model, "prompt": "lot 17", "max_tokens": 3, "stream": True}
        return visible_parts(client.post("two", "/v1/completions", caller, body, sent))

    chat = {
        "model": "listing-vetter:a1",
        "messages": [{"role": "user", "content": "lot 17"}],
        "max_tokens": 3,
    }
    session = {
        "applied": {key: applied[key] for key in ("version", "author")},
        "streamed": ask("r1", "clerks", "listing-vetter"),
        "chat": visible_parts(
            client.post("two", "/v1/chat/completions", "clerks", chat, {"X-Request-Id": "r2"})
        ),
        "another caller's model": ask("r3", "portal", "listing-vetter"),
        "unknown caller": ask("r4", "nobody", "listing-vetter"),
        "deadline past": ask("r5", "clerks", "listing-vetter", **{"X-Deadline-Seconds": "0"}),
        "drained": client.operate("one", "POST", "/drain", {"instance": "two"}).document,
    }
    process = deployment.members_by_id["two"].process

    session["exit code"] = process.wait(30.0)

    assert session == snapshot


def test_second_operator_is_refused_and_gets_the_current_version(make_deployment, izmir_text):
    """Two operators edit version 0 and apply their changes one after the other.

    Guards against the second silently undoing the first: it is refused, and its response
    contains the text of the first.
    """
    client = Client(make_deployment(SHAPE))
    other = json.loads(izmir_text)
    other["policy"]["moves_weight"] = 0.9

    first = client.apply("one", izmir_text)
    second = client.apply("two", json.dumps(other))

    assert (first.status, second.status) == (200, 409)
    assert second.document["text"] == izmir_text
