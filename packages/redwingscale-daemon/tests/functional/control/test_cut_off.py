"""A failure domain cut off from the others and from the platform."""

import re

import pytest
import urllib3
from redwingscale_standins.engine.generation import answer_text
from redwingscale_standins.launcher.client import Client
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape
from redwingscale_standins.silent_relay import SilentRelay

UNIT = "listing-vetter@v1"
INSTANCES = {"a1": "a", "b1": "b"}
REQUESTS = 10


@pytest.fixture
def cut_off(make_deployment, small_shape):
    """Two failure domains with one instance and one engine each; relays link the instances."""
    engines = tuple(EngineShape(f"e-{d}", d, "alder", 1, 160 * GIGABYTE) for d in "ab")
    shape = small_shape._replace(instances_by_id={}, engines=engines)
    deployment = make_deployment(shape)
    relays = {name: SilentRelay() for name in INSTANCES}
    deployment.peers_urls = {name: relay.url for name, relay in relays.items()}
    for name, domain in INSTANCES.items():
        relays[name].target_port = deployment.start_instance(name, domain)
    yield deployment, Client(deployment), list(relays.values())
    for relay in relays.values():
        relay.close()


def complete(client, instance, number):
    return client.complete(instance, "clerks", "listing-vetter", f"lot {number}", 10)


def engines_of(client, instance):
    models = client.operate(instance, "GET", "/models").document
    return sorted(models.get(UNIT, {}).get("engines", []))


def accepted_orders(deployment):
    """Return every order that the engines have accepted."""
    urls = [deployment.members_by_id[e].admin_url for e in ("e-a", "e-b")]
    return [urllib3.request("GET", f"{url}/admin/record").json()["accepted"] for url in urls]


def versions_in_force(deployment, instance):
    log = (deployment._directory / "logs" / f"{instance}.log").read_text()
    return [int(v) for v in re.findall(r"event=configuration_in_force .*version=(\d+)", log)]


def test_domain_cut_off_from_all_continues_to_serve_and_rejoins(cut_off, small_text):
    """
    Domain a is cut off from the others and from the platform for longer than any
    lease, while an operator applies a new version elsewhere. The engine in a still
    answers the callers there. When the partition ends, a accepts the new version,
    no version falls, and no model is moved.
    """
    deployment, client, relays = cut_off
    client.apply("b1", small_text(share=1))
    for instance in INSTANCES:
        client.wait_for(
            lambda i=instance: engines_of(client, i) == ["e-a", "e-b"],
            "both replicas",
        )
    before = accepted_orders(deployment)
    for relay in relays:
        relay.cut()
    deployment.set_faults("platform", cut_instances=["a1"])
    client.wait_for(
        lambda: not client.operate("a1", "GET", "/status").document["session_valid"],
        "the cut is noticed",
    )

    assert client.apply("b1", small_text(share=2), 1).document["version"] == 2
    answers = [complete(client, "a1", n) for n in range(REQUESTS)]

    assert [a.text for a in answers] == [answer_text(UNIT, f"lot {n}", 10) for n in range(REQUESTS)]
    assert client.operate("a1", "GET", "/status").document["ready"]
    assert versions_in_force(deployment, "a1") == [1]

    for relay in relays:
        relay.heal()
    deployment.set_faults("platform", cut_instances=[])
    client.wait_for(lambda: versions_in_force(deployment, "a1") == [1, 2], "a1 has version 2")
    client.wait_for(
        lambda: client.operate("a1", "GET", "/status").document["session_valid"],
        "the session of a1 is valid again",
    )
    assert [complete(client, i, 99).text for i in INSTANCES] == [
        answer_text(UNIT, "lot 99", 10)
    ] * 2
    assert versions_in_force(deployment, "b1") == [1, 2]
    assert accepted_orders(deployment) == before
