"""Instances that query each other, each with a configuration."""

import msgspec
import pynng
from redwingscale_daemon._internal.platform.configuration import decode_configuration
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.swaps.leader_lease import LeaderRecord
from redwingscale_daemon._internal.swaps.peer_client import PeerClient
from redwingscale_daemon._internal.swaps.peer_server import LeaseState, PeerResponse, PeerServer
from redwingscale_standins.hosted.documents import document

KEY = "k2b7ex5wa5"
LEADER = LeaderRecord("n9", "127.0.0.1", 1, 2, "start")


def table(version, *keys):
    tenants = [{"Name": "clerks", "ApiKeys": list(keys), "RatePerS": 5, "Burst": 9}]
    return decode_configuration(msgspec.json.encode(document(version) | {"Tenants": tenants}))


class Peer:
    """The peer server of an instance, and its configuration."""

    def __init__(self, newest, age=0.1):
        self.routes = CurrentRoutes()
        self.routes.offer(newest)
        self.server = PeerServer(
            "127.0.0.1", 0, self.routes, lambda: age, lambda: LeaseState(StoreVersion(0, 7), LEADER)
        )
        self.server.start()


def ask(peer, *request):
    """Return the response to a request with these fields."""
    with pynng.Req0(recv_timeout=2000) as link:
        link.dial(f"tcp://{peer.server.address}", block=True)
        link.send(msgspec.msgpack.encode(request))
        return msgspec.msgpack.decode(link.recv(), type=PeerResponse)


class Requester:
    """An instance that the store rejects."""

    def __init__(self):
        self.routes = CurrentRoutes()
        self.needed = True
        self.leaders = []
        self.client = PeerClient(
            self.routes,
            lambda: self.needed,
            lambda version, record: self.leaders.append((version, record)),
            lambda: "127.0.0.1:1",
        )

    @property
    def version(self):
        current = self.routes.get()
        return current.version if current else None
