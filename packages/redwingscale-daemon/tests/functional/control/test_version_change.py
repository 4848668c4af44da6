"""A new version replaces the old one while requests arrive."""

import json

from redwingscale_standins.engine.generation import answer_text
from redwingscale_standins.launcher.client import Client
from redwingscale_standins.launcher.deployment import Speed

MODEL = "listing-vetter"
SLOW_WEIGHTS = 12e9
"""Bytes per second: a load takes two seconds."""


def test_requests_are_answered_while_a_new_version_loads(make_deployment, small_shape, small_text):
    """
    An operator serves v2 of the only model, whose weights take seconds to load.
    Callers send requests all the time and must get whole responses: v1 answers until
    v2 is ready. Routing or a plan that switched at once would answer "not resident".
    """
    deployment = make_deployment(small_shape, Speed(SLOW_WEIGHTS, 0.002, 0.1))
    client = Client(deployment)
    text = json.loads(small_text())
    client.apply("i1", json.dumps(text))
    for instance in small_shape.instances_by_id:
        client.wait_until_resident(instance, {f"{MODEL}@v1"})
    versions = text["models"][MODEL]["versions"]
    versions["v2"] = dict(versions["v1"])
    text["models"][MODEL]["serving"] = "v2"
    assert client.apply("i1", json.dumps(text), 1).status < 300
    expected = {answer_text(f"{MODEL}@{v}", "lot 3", 8): v for v in ("v1", "v2")}

    answered = []

    def request_all() -> bool:
        for instance in small_shape.instances_by_id:
            answer = client.complete(instance, "clerks", MODEL, "lot 3", 8)
            answered.append(expected.get(answer.text, f"{answer.status}"))
        return answered[-2:] == ["v2", "v2"]

    client.wait_for(request_all, "the new version everywhere")

    assert set(answered) == {"v1", "v2"}
