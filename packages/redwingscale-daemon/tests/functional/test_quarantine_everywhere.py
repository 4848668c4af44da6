"""A request that crashes engines is sent through every instance of a real deployment."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

from redwingscale_common.utils.digests import sha256_hex
from redwingscale_standins.engine.generation import answer_text
from redwingscale_standins.engine.streams import CRASH_MARK
from redwingscale_standins.launcher.client import Client, demo_token
from redwingscale_standins.launcher.deployment import Speed
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, Shape

MODEL = "reader"
UNIT = f"{MODEL}@v1"
TOKENS = 250
BYSTANDERS = 12
DEADLINE_SECONDS = 50
INSTANCES = {"yard-a1": "a", "yard-b1": "b", "yard-c1": "c"}
SHAPE = Shape(
    name="yard",
    region="gulf",
    instances_by_id=INSTANCES,
    engines=tuple(
        EngineShape(f"yard-engine-{n}", domain, vendor, 2, 10 * GIGABYTE)
        for n, (domain, vendor) in enumerate(zip("abca", ["alder", "birch"] * 2, strict=True))
    ),
    plain=(),
    full_speed_loads=4,
)
TEXT = json.dumps(
    {
        "deployment": "yard",
        "weight_store": {"loads_per_second": 10, "concurrent_loads": 4},
        "callers": {"traders": {"token_sha256": sha256_hex(demo_token("traders").encode())}},
        "models": {MODEL: {"serving": "v1", "versions": {"v1": {"size_bytes": GIGABYTE}}}},
        "services": {
            "parts": {
                "kind": "model",
                "callers": ["traders"],
                "depends_on": [{"model": MODEL}],
                "deadline_seconds": DEADLINE_SECONDS,
            }
        },
    }
)
SPEED = Speed(weights_bytes_per_second=400e9, token_gap_seconds=0.01, report_lag_seconds=0.1)


def test_two_engines_crash_and_no_other_request_is_refused_or_cut(make_deployment):
    """A request that crashes each engine is sent until every instance refuses it for good.

    It is sent through the instances in turn. Exactly two engines crash, and the answers
    that other callers read meanwhile on the same engines are all complete.
    """
    deployment = make_deployment(SHAPE, SPEED)
    client = Client(deployment)
    instances = list(INSTANCES)
    client.apply(instances[0], TEXT)
    for instance in instances:
        client.wait_until_resident(instance, {UNIT})

    def read(number: int) -> str | None:
        instance = instances[number % len(instances)]
        return client.complete(instance, "traders", MODEL, f"part {number}", TOKENS).text

    with ThreadPoolExecutor(BYSTANDERS) as pool:
        others = pool.map(read, range(BYSTANDERS))
        time.sleep(0.5)
        _send_until_final(client, instances)
        assert list(others) == [answer_text(UNIT, f"part {n}", TOKENS) for n in range(BYSTANDERS)]

    engines = [m for m in deployment.members_by_id.values() if m.kind == "engine"]
    assert sum(not e.process.running for e in engines) == 2


def _send_until_final(client: Client, instances: list[str]) -> None:
    body = {"model": MODEL, "prompt": CRASH_MARK, "max_tokens": 5}

    def is_final(instance: str) -> bool:
        answer = client.post(instance, "/v1/completions", "traders", body)
        return bool(answer.document["type"].endswith(":quarantined"))

    for instance in instances * 2:
        client.wait_for(lambda instance=instance: is_final(instance), "the final answer")
