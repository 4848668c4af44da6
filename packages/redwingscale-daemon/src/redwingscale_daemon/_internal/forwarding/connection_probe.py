"""Tries whether a new connection to an upstream works."""

import http.client
import select
import socket
from contextlib import closing

from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.upstream_connection import CONNECT_SECONDS

# A path that breaks new connections does so within a round trip.
SETTLE_SECONDS = 0.1


def answers_on_new_connection(upstream: Upstream, target: str) -> bool:
    """Return whether ``upstream`` answers a request for ``target``, of any status."""
    connection = http.client.HTTPConnection(upstream.host, upstream.port, timeout=CONNECT_SECONDS)
    with closing(connection):
        try:
            connection.request("GET", target, headers={"Connection": "close"})
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            return False
    return True


def keeps_new_connection(upstream: Upstream) -> bool:
    """Return whether ``upstream`` accepts a connection and leaves it open for a moment."""
    try:
        with socket.create_connection(upstream.address, CONNECT_SECONDS) as probe:
            return not select.select([probe], [], [], SETTLE_SECONDS)[0]
    except OSError:
        return False
