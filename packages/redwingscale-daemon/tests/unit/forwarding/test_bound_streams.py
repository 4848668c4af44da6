"""Begun streams beside upstreams of two software versions, in one instance."""

import json

import msgspec
import pytest
from redwingscale_daemon._internal.forwarding import envelope
from redwingscale_daemon._internal.forwarding.stream_origins import StreamOrigins
from redwingscale_daemon._internal.forwarding.stream_resumption import StreamResumption

from .conftest import events, head, read_response
from .test_bytes_held import wait_until
from .test_stream_resumption import Peers, Versions
from .test_streams import numbers

TAKES_UP = ["Last-Event-Id: 3", "Resumes: first"]


@pytest.fixture
def origins(world):
    """What is known of streams in ``world``, where two versions serve."""
    made = StreamOrigins(Peers(), lambda: 40.0)
    world.handler._resumption = StreamResumption(made, Versions())
    return made


def add(world, software, *scripts):
    world.add("llm", *scripts)
    scripted, listed = world.upstreams.pop()
    world.upstreams.append((scripted, listed._replace(software=software)))
    world.directory.replace([upstream for _, upstream in world.upstreams])


@pytest.mark.parametrize("model", ["m", None], ids=["model", "plain"])
def test_stream_that_is_taken_up_goes_to_its_version(world, origins, model):
    add(world, "v1", events(4, 5))
    add(world, "v1.1", events(4, 5))
    origins.note("", "first", "llm", "v1.1", tell=False)
    for _ in range(5):
        assert world.request("/stream/x", model=model, headers=TAKES_UP).status == 200
    assert {one.upstream for one in world.log} == {"u1"}


@pytest.mark.parametrize("model", ["m", None], ids=["model", "plain"])
def test_begin_of_a_stream_is_noted_under_its_id(world, origins, model):
    add(world, "v1.1", events(1, 2))
    assert world.request("/stream/x", model=model).status == 200
    assert origins.known("", "r1").software == "v1.1"


def test_stream_that_breaks_without_another_upstream_of_its_version_is_cut(world, origins):
    """Guards against an answer that goes on at another version, or waits for its deadline."""
    add(world, "v1", events(1, 2, then="break"), events(3, 4))
    first = world.upstreams[0]
    world.directory.replace([first[1]])
    caller = world.send("/stream/x", model="m")
    wait_until(lambda: origins.known("", "r1"))
    add(world, "v1.1", events(3, 4))
    response = read_response(caller)
    assert response.whole is False
    assert numbers(response) == [1, 2]
    assert {one.upstream for one in world.log} == {"u0"}


def test_version_that_is_gone_is_refused_with_a_time_to_return(world, origins):
    add(world, "v1", events(4, 5))
    origins.note("", "first", "llm", "v1.1", tell=False)
    response = world.request("/stream/x", model="m", headers=TAKES_UP)
    assert response.status == 503
    assert "Retry-After" in response.headers
    assert not world.log


@pytest.mark.parametrize("binds", [False, True])
def test_begun_stream_is_passed_on_to_peers_that_keep_its_version(world, origins, binds):
    """Guards against an instance of the release before, which goes on at any version."""
    add(world, "v1", events(4, 5))
    add(world, "v1.1", events(4, 5))
    origins.note("", "first", "llm", "v1.1", tell=False)

    def answers(connection, received):
        line = ": ".join(envelope.software_header("v1.1"))
        connection.sendall(head(received, "200 OK", line, "Connection: close"))
        connection.sendall(b"id: 4\ndata: x\n\nid: 5\ndata: x\n\n")
        return False

    world.add_peer(answers)
    world.peers["p0"] = msgspec.structs.replace(world.peers["p0"], binds=binds)
    world.lose_path()
    response = world.request("/stream/x", model="m", headers=TAKES_UP)
    assert response.status == (200 if binds else 503)
    carried = [json.loads(one.header(envelope.HEADER)) for one in world.log]
    assert [(one["begun"], one["software"]) for one in carried] == [(True, "v1.1")] * binds
    assert envelope.SOFTWARE_HEADER not in response.headers
