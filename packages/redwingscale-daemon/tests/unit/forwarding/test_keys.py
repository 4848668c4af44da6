"""Requests are authenticated by the key that they carry."""

import time

import pytest
from redwingscale_daemon._internal.fleet.upstream import ResidentModel
from redwingscale_daemon._internal.workspaces.keys import WorkspaceKeys, key_digest
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, UseUnit, Workspace

from .conftest import WAIT_SECONDS, events, read_response, sized

KEY, OTHER_KEY = "k2b7ex5wa5", "z9m3qq1nn0"
BEARER = f"Authorization: Bearer {KEY}"


def keys(*names, priority=1):
    """Return the keys of the named workspaces: KEY for the first, OTHER_KEY for the second."""
    workspaces = [Workspace(name, priority, None) for name in names]
    digests = map(key_digest, (KEY, OTHER_KEY))
    return WorkspaceKeys(dict(zip(digests, workspaces, strict=False)))


@pytest.fixture
def keyed(world):
    """A request path whose callers need keys."""
    world.configure(2, keys("clerks"))
    world.add("plain", sized(b"ok"))
    return world


def test_upstream_receives_the_workspace_of_the_key_and_not_the_key(keyed):
    """Guards against passing on a caller's key or a workspace name that the caller forged."""
    forged = "X-Redwingscale-Tenant-Id: bidders"
    assert keyed.request("/safe/", headers=(BEARER, forged)).status == 200
    received = keyed.log[0]
    assert received.header("X-Redwingscale-Tenant-Id") == "clerks"
    assert received.head.count("X-Redwingscale-Tenant-Id") == 1
    assert KEY not in received.head


@pytest.mark.parametrize(
    ("header", "outcome"),
    [
        ("X-Other: 1", "key_missing"),
        (f"Authorization: Basic {KEY}", "key_missing"),
        ("Authorization: Bearer", "key_unknown"),
        (f"Authorization: Bearer {KEY}x", "key_unknown"),
        (f"Authorization: Bearer {KEY.upper()}", "key_unknown"),
    ],
)
def test_unknown_key_is_refused(keyed, header, outcome):
    """Guards against work for an unauthenticated caller."""
    response = keyed.request("/safe/", b"body", headers=(header,))
    assert (response.status, keyed.ended, keyed.log) == (401, [outcome], [])
    assert response.headers["WWW-Authenticate"] == "Bearer"


@pytest.mark.parametrize("path", ["/safe/", "/nowhere/"])
def test_outdated_configuration_refuses_nothing_for_good(keyed, path):
    """Guards against 401 or 404 for a key or route that was confirmed long before."""
    keyed.table_check.outdated = True
    response = keyed.request(path, b"body", headers=("X-Other: 1",))
    assert (response.status, keyed.ended) == (503, ["configuration_outdated"])
    assert float(response.headers["Retry-After"]) > 0


def test_unknown_key_is_refused_before_the_body_is_read(keyed):
    """Guards against a caller without a key that occupies a thread with a slow body."""
    caller = keyed.connect()
    head = ["POST /safe/ HTTP/1.1", "Host: a.example", "X-Redwingscale-Request-Id: r1"]
    caller.sendall("\r\n".join([*head, "Content-Length: 900000", "", ""]).encode())
    assert read_response(caller).status == 401


def test_scheme_is_case_insensitive(keyed):
    assert keyed.request("/safe/", headers=(f"authorization: bearer {KEY}",)).status == 200


def test_public_route_needs_no_key(keyed):
    assert keyed.request("/public/").status == 200
    assert keyed.log[0].header("X-Redwingscale-Tenant-Id") is None


def test_public_route_passes_on_the_workspace_of_a_known_key(keyed):
    assert keyed.request("/public/", headers=(BEARER,)).status == 200
    assert keyed.log[0].header("X-Redwingscale-Tenant-Id") == "clerks"
    assert KEY not in keyed.log[0].head


def test_withdrawn_key_is_refused_on_an_open_connection(keyed):
    """Guards against a connection that outlasts the key it was opened with."""
    caller = keyed.connect()
    assert keyed.request("/safe/", caller=caller, headers=(BEARER,)).status == 200
    keyed.configure(3, WorkspaceKeys({}))
    assert keyed.request("/safe/", caller=caller, headers=(BEARER,)).status == 401


def test_older_version_does_not_restore_a_withdrawn_key(keyed):
    """Guards against a late read that makes a withdrawn key valid again."""
    keyed.configure(4, WorkspaceKeys({}))
    keyed.configure(3, keys("clerks"))
    assert keyed.request("/safe/", headers=(BEARER,)).status == 401


def test_key_withdrawn_while_its_request_waits_for_a_holder_is_refused(world):
    """Guards against a run that begins seconds after its key was withdrawn."""
    world.configure(2, keys("clerks"))
    world.add("llm", events(1, 2), models=())
    caller = world.send("/long/", model="m", headers=(BEARER,))
    _until(lambda: world.local_demand.drain())
    world.configure(3, WorkspaceKeys({}))
    scripted, listed = world.upstreams[0]
    resident = {"m": ResidentModel("m", 1, frozenset())}
    world.directory.replace([listed._replace(models_by_name=resident)])
    world.changes.notify()
    assert read_response(caller).status == 401
    assert world.log == []


@pytest.mark.parametrize(("key", "level"), [(KEY, "2"), (OTHER_KEY, "7")])
def test_priority_of_the_workspace_precedes_that_of_the_route(world, key, level):
    first, second = Workspace("a", 0, None), Workspace("b", 4, None)
    digests = {key_digest(KEY): first, key_digest(OTHER_KEY): second}
    world.configure(2, WorkspaceKeys(digests))
    world.add("llm", events(1))
    world.request("/stream/", model="m", headers=(f"Authorization: Bearer {key}",))
    assert world.log[0].header("X-Redwingscale-Request-Priority") == level


def test_workspace_beyond_its_limit_is_refused_with_a_retry_time(world):
    """Guards against one workspace whose flood of requests crowds out the others."""
    limit = UseLimit(UseUnit.TOKENS, 0.01, 120.0, 60.0)
    world.configure(2, WorkspaceKeys({key_digest(KEY): Workspace("clerks", 1, limit)}))
    world.add("plain", sized(b"ok"))
    world.limiter.receive([])
    responses = [world.request("/once/", headers=(BEARER,)) for _ in range(3)]
    assert [response.status for response in responses] == [200, 200, 429]
    assert float(responses[2].headers["Retry-After"]) > 0
    assert b"not_run" in responses[2].body
    assert len(world.log) == 2


def test_request_that_has_not_run_returns_its_tokens(world):
    """Guards against a limit that is used up by refused requests."""
    limit = UseLimit(UseUnit.TOKENS, 0.01, 120.0, 60.0)
    world.configure(2, WorkspaceKeys({key_digest(KEY): Workspace("clerks", 1, limit)}))
    world.limiter.receive([])
    responses = [world.request("/once/", headers=(BEARER,)).status for _ in range(5)]
    assert responses == [503] * 5


def test_key_passes_through_where_none_is_needed(world):
    world.add("plain", sized(b"ok"))
    world.request("/safe/", headers=(BEARER,))
    assert world.log[0].header("Authorization") == f"Bearer {KEY}"


def _until(condition):
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)
