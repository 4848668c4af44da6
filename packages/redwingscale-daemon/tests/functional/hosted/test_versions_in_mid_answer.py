"""Streams that run while the operator changes the configuration arrive whole."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from redwingscale_standins.hosted.documents import document, keyed_document, stream_route
from redwingscale_standins.hosted.model_worker import WorkerTiming
from redwingscale_standins.hosted.waiting import until

KEY = "k1"
EVENTS = 20
EVENT_SECONDS = 0.1
STREAMS = 12
VERSIONS = 8
VERSION_SECONDS = 0.2
ROUTES = 600


def with_route(**fields):
    made = keyed_document(0, KEY)
    made["Routes"][0] |= fields
    return made


def without_route(step):
    return keyed_document(0, KEY) | {"Routes": [stream_route("other", f"/other{step}/")]}


def without_service(step):
    made = with_route(Service="other")
    made["Services"][0] |= {"Name": "other"}
    return made


def with_many_routes(step):
    made = keyed_document(0, KEY)
    made["Routes"] += [stream_route(f"r{n}", f"/r{step}/{n}/") for n in range(ROUTES)]
    return made


CHANGES = {
    "limit": lambda step: with_route(TimeoutMs=(1000, 20000)[step % 2]),
    "name": lambda step: with_route(Name=f"live{step}"),
    "attempts": lambda step: with_route(Resumable=False, MaxAttempts=1),
    "route": without_route,
    "service": without_service,
    "key": lambda step: keyed_document(0, f"new{step}"),
    "no_keys": lambda step: document(0),
    "many_routes": with_many_routes,
}


@pytest.fixture
def streams(deployment):
    """Streams that have begun at one instance, as futures."""
    deployment.rows.put("op", "config", keyed_document(1, KEY))
    for number in range(2):
        deployment.worker(f"w{number}", "m1", timing=WorkerTiming(gap=EVENT_SECONDS))
    instance = deployment.instance("one")
    with ThreadPoolExecutor(STREAMS) as pool:
        yield [
            pool.submit(instance.request_stream, "m1", EVENTS, request=f"r{n}", key=KEY)
            for n in range(STREAMS)
        ]


def await_begin(deployment):
    workers = deployment.workers.values()
    until(lambda: sum(len(one.runs) for one in workers) == STREAMS, "the begin of all streams")


def assert_whole(streams):
    assert {str(one.result()) for one in streams} == {str((200, [*range(1, EVENTS + 1)]))}


@pytest.mark.parametrize("change", CHANGES)
def test_begun_streams_outlast_versions(deployment, streams, change):
    """Guards against streams that are cut by a version which changes or drops what they use."""
    await_begin(deployment)
    for step in range(VERSIONS):
        version = {"Version": step + 2}
        deployment.rows.put("op", "config", CHANGES[change](step) | version)
        time.sleep(VERSION_SECONDS)
    assert_whole(streams)


def test_begun_streams_outlast_reloads(deployment, streams):
    """Guards against streams that are cut by a signal to read the configuration anew."""
    await_begin(deployment)
    process = deployment.instances[0].process
    for step in range(VERSIONS):
        deployment.rows.put("op", "config", with_route(Name=f"live{step}") | {"Version": step + 2})
        process.send_signal(signal.SIGHUP)
        time.sleep(VERSION_SECONDS)
    assert_whole(streams)


@pytest.mark.parametrize("leaves", ["draining", "removed"])
def test_begun_streams_outlast_their_workers_place_in_the_list(deployment, streams, leaves):
    """Guards against streams that are cut when their worker is listed as draining or removed."""
    await_begin(deployment)
    for name, entry in [(one, deployment.rows.value("servers", one)) for one in deployment.workers]:
        deployment.rows.put("servers", name, entry | {"State": "draining"})
        if leaves == "removed":
            deployment.rows.remove("servers", name)
    assert_whole(streams)


def test_begun_streams_outlast_an_unload(deployment, streams):
    """Guards against streams that are cut when their worker unloads their model."""
    await_begin(deployment)
    for worker in deployment.workers.values():
        del worker.models["m1"]
    assert_whole(streams)
