"""Instances with gossip, mesh and configuration only, in this process, on real sockets."""

import json
import time
from types import SimpleNamespace

import pytest
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_daemon._internal.composition.control import build_control
from redwingscale_daemon._internal.settings.load import load_settings
from redwingscale_daemon._internal.store.store import connect_platform
from redwingscale_standins.platform.api import PlatformApi
from redwingscale_standins.platform.weights import WeightStore
from redwingscale_standins.silent_relay import SilentRelay

HOST = "127.0.0.1"
KEY = "key-of-the-peers-in-tests"
WAIT_TIMEOUT_SECONDS = 30.0
TIMING = {
    "configuration_poll": 0.2,
    "member_poll": 0.2,
    "heartbeat": 0.1,
    "full_cycle": 0.5,
    "lease": 2.0,
    "lease_renewal": 0.5,
}


class PlatformStandIn:
    """Serves the stand-in of the platform from this process."""

    def __init__(self):
        api = PlatformApi(WeightStore(40e9, 7))
        self.faults = api._faults
        self.listing = api._listing
        self._server = HttpServer(api, HOST, 0, ServerLimits(threads=16))
        self._server.start()
        self.url = f"http://{HOST}:{self._server.port}"
        self.stop = self._server.stop

    def list_instance(self, name, domain, peers_url):
        url = f"http://{HOST}:1"
        self.listing.put(
            {
                "id": name,
                "kind": "instance",
                "failure_domain": domain,
                "region": "r",
                "state": "live",
                "callers_url": url,
                "operators_url": url,
                "peers_url": peers_url,
            }
        )


class Node:
    """Membership and configuration of one instance; ``versions`` came into force in order."""

    def __init__(self, settings):
        self.name = settings.instance.id
        self.domain = settings.instance.failure_domain
        self.control = build_control(settings, connect_platform(settings.platform, self.name))
        self.versions = []
        self.control.current.on_change(lambda a: self.versions.append(a.pointer.version))

    @property
    def url(self):
        return self.control.listener.url

    def start(self):
        self.control.listener.start()
        return self

    def run(self):
        for task in self.control.tasks:
            task.start()

    def stop(self):
        for task in self.control.tasks:
            task.stop()
        self.control.mesh.stop()
        self.control.listener.stop()

    def sees(self, peer, seconds=1.0):
        return self.control.heartbeats.silent_seconds(peer) < seconds

    def has_entry(self, origin, key):
        entries = self.control.gossip.entries("test")
        return any(e.origin == origin and e.key == key for e in entries)


@pytest.fixture
def platform():
    standin = PlatformStandIn()
    yield standin
    standin.stop()


@pytest.fixture
def make_node(platform, tmp_path):
    """Return a factory of nodes that listen; ``run`` starts their polling and links."""
    nodes = []

    def make(name, domain="a", seeds=(), relay=None, listed=True):
        peers = {"host": HOST, "port": 0, "key": KEY, "seeds": list(seeds)}
        if relay:
            peers["url"] = relay.url
        value = {
            "instance": {"id": name, "failure_domain": domain, "region": "r"},
            "callers": {"host": HOST, "port": 0},
            "operators": {"host": HOST, "port": 0, "token_sha256": "0" * 64},
            "peers": peers,
            "platform": {"url": platform.url, "timeout_seconds": 0.5},
            "timing": TIMING,
        }
        path = tmp_path / f"{name}-{len(nodes)}.json"
        path.write_text(json.dumps(value))
        node = Node(load_settings(path)).start()
        nodes.append(node)
        if relay:
            relay.target_port = node.control.listener.port
        if listed:
            platform.list_instance(name, domain, peers.get("url", node.url))
        return node

    yield make
    for node in nodes:
        node.stop()


@pytest.fixture
def make_relay():
    relays = []

    def make():
        relays.append(SilentRelay())
        return relays[-1]

    yield make
    for relay in relays:
        relay.close()


@pytest.fixture
def wait_for():
    """Poll a condition until it is true; fail after a time that no machine should need."""

    def wait(condition, what="condition"):
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while not condition():
            assert time.monotonic() < deadline, f"not reached: {what}"
            time.sleep(0.02)

    return wait


@pytest.fixture
def text():
    """Return a factory of minimal configuration texts; ``share`` distinguishes versions."""

    def make(share=1):
        caller = {"token_sha256": "a" * 64, "share": share}
        value = {"deployment": "d", "callers": {"c": caller}, "models": {}, "services": {}}
        return json.dumps(value)

    return make


@pytest.fixture
def names():
    return SimpleNamespace(key=KEY, host=HOST)
