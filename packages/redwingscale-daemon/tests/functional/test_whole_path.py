"""Requests through every instance of a deployment of real processes."""

from redwingscale_standins.engine.generation import answer_text
from redwingscale_standins.launcher.client import Client
from redwingscale_standins.launcher.shape import SHAPES_BY_NAME

UNIT = "listing-vetter@v1"


def test_every_instance_streams_a_complete_answer(make_deployment, izmir_text):
    deployment = make_deployment(SHAPES_BY_NAME["izmir"])
    client = Client(deployment)
    instances = list(SHAPES_BY_NAME["izmir"].instances_by_id)
    client.apply(instances[0], izmir_text)
    for instance in instances:
        client.wait_until_resident(instance, {UNIT})

    answers = [client.complete(i, "clerks", "listing-vetter", "lot 3", 20) for i in instances]

    assert [a.text for a in answers] == [answer_text(UNIT, "lot 3", 20)] * len(instances)


def test_every_instance_calls_the_plain_service(make_deployment, izmir_text):
    deployment = make_deployment(SHAPES_BY_NAME["izmir"])
    client = Client(deployment)
    instances = list(SHAPES_BY_NAME["izmir"].instances_by_id)
    client.apply(instances[0], izmir_text)
    path = "/services/bidding-portal/bids"

    for instance in instances:
        client.wait_for(
            lambda instance=instance: (
                client.post(instance, path, "portal", {"bid": 1}).status == 200
            ),
            f"an answer through {instance}",
        )
