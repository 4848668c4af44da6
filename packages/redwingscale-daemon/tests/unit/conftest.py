"""In-process stand-ins on real sockets."""

import pytest
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_standins.plain.api import PlainApi
from redwingscale_standins.platform.api import PlatformApi
from redwingscale_standins.platform.weights import WeightStore


@pytest.fixture
def serve():
    """Serve a handler on a free port; return its URL."""
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
    """A platform without faults."""
    return serve(PlatformApi(WeightStore(1e12, 8)))


@pytest.fixture
def plain_url(serve):
    """A plain service that records what it runs."""
    return serve(PlainApi("register"))
