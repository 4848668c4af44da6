"""Fixtures: in-process stand-ins on real sockets."""

import time

import pytest
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_standins.plain.api import PlainApi
from redwingscale_standins.platform.api import PlatformApi
from redwingscale_standins.platform.weights import WeightStore


@pytest.fixture
def serve():
    """Return a function that serves a handler on a free port and returns its URL."""
    servers = []

    def start(handler):
        server = HttpServer(handler, "127.0.0.1", 0, ServerLimits())
        server.start()
        servers.append(server)
        return f"http://127.0.0.1:{server.port}"

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def platform_url(serve):
    """The URL of a platform without faults."""
    return serve(PlatformApi(WeightStore(1e12, 8)))


@pytest.fixture
def plain_url(serve):
    """The URL of a plain service that records the requests that it runs."""
    return serve(PlainApi("register"))


class Clock:
    """Replaces `time.monotonic`."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    """The clock of the process, which stands still unless a test moves it."""
    made = Clock()
    monkeypatch.setattr(time, "monotonic", made)
    return made
