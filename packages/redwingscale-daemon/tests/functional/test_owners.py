"""Owners of engines in a deployment of real processes: suspended, or with faulty engines."""

import itertools
import json
import re
import signal
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from redwingscale_common.utils.digests import rendezvous_order
from redwingscale_standins.engine.generation import answer_text
from redwingscale_standins.launcher.client import Client
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, Shape

MODELS = ["listing-vetter", "name-similarity", "notice-drafter", "trademark-check"]
FAST_STORE = {"loads_per_second": 100, "concurrent_loads": 20}
ADAPTERS = ["a1", "a2", "a3", "a4"]


def units_of(models):
    """Return the units of ``models`` with their adapters."""
    return {f"{m}@v1" for m in models} | {f"{m}@v1:{a}" for m in models for a in ADAPTERS}


UNITS = units_of(MODELS)
FOREIGN = {"stranger@v9": 40 * GIGABYTE, "stranger@v9:x": GIGABYTE, "other@v2": 70 * GIGABYTE}


class Scene:
    """Two instances and one engine in one failure domain."""

    def __init__(self, make_deployment, vendor, izmir_text):
        engine = EngineShape("e1", "a", vendor, 2, 160 * GIGABYTE)
        shape = Shape("small", "r", {"i1": "a", "i2": "a"}, (engine,), (), 7)
        self.engine = engine
        self.configuration = json.loads(izmir_text)
        self.deployment = make_deployment(shape)
        self.client = Client(self.deployment)
        self.version = 0
        self.http = urllib3.PoolManager(retries=False)

    def apply(self, instance, models):
        """Apply a configuration with only ``models``."""
        service = self.configuration["services"]["listing-vetting"]
        needs = [d for d in service["depends_on"] if d["model"] in models]
        listed = {name: self.configuration["models"][name] for name in models}
        services = {"listing-vetting": service | {"depends_on": needs}}
        parts = {"models": listed, "services": services, "weight_store": FAST_STORE}
        text = json.dumps(self.configuration | parts)
        answer = self.client.apply(instance, text, self.version)
        assert answer.status == 200, answer.body
        self.version += 1

    def record(self):
        url = self.deployment.members_by_id["e1"].admin_url
        return self.http.request("GET", f"{url}/admin/record").json()

    def owner(self):
        """Return holder and fence once the assigned instance owns the engine."""
        first = rendezvous_order("e1", ["i1", "i2"])[0]
        self.wait(lambda: self.holder()[0] == first, f"{first} the owner")
        return self.holder()

    def holder(self):
        """Return holder and fence of the engine according to the table."""
        url = f"{self.deployment.platform_url}/table/rows?key=owners/e1"
        row = self.http.request("GET", url).json()["owners/e1"]
        value = row["value"] if isinstance(row, dict) else row[1]
        return value["holder"], value["fence"]

    def fences_by_order(self):
        """Return the fences of the orders that the instances logged as sent or unsure."""
        logs = [self.deployment._directory / "logs" / f"{i}.log" for i in ("i1", "i2")]
        found = [re.findall(r" order=(\w+) .*fence=(\d+)", log.read_text()) for log in logs]
        return {order: int(fence) for order, fence in itertools.chain(*found)}

    def routed(self, instance):
        models = self.client.operate(instance, "GET", "/models").document
        return {unit for unit, item in models.items() if item["engines"]}

    def wait(self, condition, what):
        self.client.wait_for(condition, what, 40)


@pytest.fixture(params=["alder", "birch"])
def scene(request, make_deployment, izmir_text):
    return Scene(make_deployment, request.param, izmir_text)


def test_owner_suspended_past_its_lease_sends_no_order(scene):
    """Guards against orders of an instance that resumes after its lease has expired.

    The owner of an engine is suspended past its lease, and the other instance takes over.
    The configuration changes, so that there are models to load; then the first instance
    resumes. It may acquire the engine again under a new fence, but must not send orders
    before that.
    """
    scene.apply("i1", MODELS[:2])
    scene.client.wait_until_resident("i1", units_of(MODELS[:2]))
    suspended, old_fence = scene.owner()
    other = "i2" if suspended == "i1" else "i1"
    process = scene.deployment.members_by_id[suspended].process
    process.signal(signal.SIGSTOP)
    try:
        scene.wait(lambda: scene.holder()[0] == other, "a successor")
        accepted_before = len(scene.record()["accepted"])
        scene.apply(other, MODELS)
    finally:
        process.signal(signal.SIGCONT)
    for instance in (other, suspended):
        scene.client.wait_until_resident(instance, UNITS)

    fences = scene.fences_by_order()
    accepted = [a["order_id"] for a in scene.record()["accepted"]]
    assert all(fences[order] > old_fence for order in accepted[accepted_before:])
    assert accepted[accepted_before:]
    assert len(accepted) == len(set(accepted)) == len(fences)
    assert scene.record()["overcommits"] == 0


@pytest.mark.parametrize("resident", [{}, FOREIGN], ids=["empty", "other models"])
def test_restarted_engine_is_loaded_again(scene, resident):
    """Guards against models that stay unloaded after the process of an engine is replaced.

    The engine crashes and restarts under its id at another address, empty or with unplanned
    models that leave no free memory.
    """
    scene.apply("i1", MODELS)
    scene.client.wait_until_resident("i2", UNITS)
    scene.deployment.members_by_id["e1"].process.kill()
    scene.wait(lambda: not scene.routed("i2"), "the crashed engine set aside")
    scene.deployment.start_engine(scene.engine, resident)

    scene.client.wait_until_resident("i2", UNITS)

    record = scene.record()
    assert record["overcommits"] == 0
    units = {a["unit"] for a in record["accepted"] if not a["load"]}
    assert units == set(resident)


def test_engine_with_invalid_reports_is_set_aside(scene):
    """Guards against an engine whose invalid reports stop its owner or cause more loads.

    The engine answers polls with an error page, and later with valid reports again.
    """
    scene.apply("i1", MODELS)
    scene.client.wait_until_resident("i2", UNITS)
    owner = scene.owner()[0]
    before = scene.record()["accepted"]
    scene.deployment.set_faults("e1", nonsense_report="<html>502</html>")
    for instance in ("i1", "i2"):
        scene.wait(lambda i=instance: not scene.routed(i), "no routing to it")
    page = scene.client.operate(owner, "GET", "/metrics").body.decode()
    assert re.search(r'redwingscale_invalid_reports_total\{.*upstream="e1"\} [1-9]', page)
    assert scene.record()["accepted"] == before

    scene.deployment.set_faults("e1", nonsense_report="")
    scene.client.wait_until_resident("i2", UNITS)


def test_unload_waits_for_the_last_request(scene):
    """Guards against a cut response when its model is removed from the configuration.

    The request arrived before the change, through an instance that does not own the
    engine, and is still running.
    """
    scene.apply("i1", MODELS)
    scene.client.wait_until_resident("i2", UNITS)
    other = "i2" if scene.owner()[0] == "i1" else "i1"
    with ThreadPoolExecutor(1) as pool:
        response = pool.submit(scene.client.complete, other, "clerks", MODELS[0], "lot 3", 1500)
        scene.wait(lambda: scene.record()["started"], "the request at the engine")
        scene.apply(other, MODELS[1:])
        # The adapters, which the request does not use, may be unloaded before it has ended.
        scene.wait(lambda: scene.record()["unloads"] == 5, "the base's unload")
        assert scene.record()["finished"] == 1
        answer = response.result()

    assert answer.text == answer_text(f"{MODELS[0]}@v1", "lot 3", 1500)
    unloaded = [a["unit"] for a in scene.record()["accepted"] if not a["load"]]
    assert unloaded[-1] == f"{MODELS[0]}@v1"
