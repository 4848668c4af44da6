"""Tries whether a new connection to an upstream works."""

import enum
import http.client
import select
import socket
from contextlib import closing

from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.upstream_connection import CONNECT_SECONDS
from redwingscale_daemon._internal.utils.bounded_answers import (
    ShortAnswerConnection,
    log_answer_broken,
)

# A path that breaks new connections does so within a round trip.
SETTLE_SECONDS = 0.1


class ProbeResult(enum.Enum):
    """Whether a new connection works, or the host refused it or closed it at once."""

    WORKS = enum.auto()
    REFUSED = enum.auto()
    FAILED = enum.auto()


def answers_on_new_connection(upstream: Upstream, target: str) -> ProbeResult:
    """Return whether ``upstream`` answers a request for ``target``, with any status."""
    connection = ShortAnswerConnection(upstream.host, upstream.port, timeout=CONNECT_SECONDS)
    with closing(connection):
        try:
            connection.request("GET", target, headers={"Connection": "close"})
            connection.getresponse().read()
        except ConnectionError:
            return ProbeResult.REFUSED
        except OSError:
            return ProbeResult.FAILED
        except http.client.HTTPException as error:
            log_answer_broken(upstream.id, error)
            return ProbeResult.FAILED
    return ProbeResult.WORKS


def keeps_new_connection(upstream: Upstream) -> ProbeResult:
    """Return whether ``upstream`` accepts a connection and leaves it open for a moment."""
    try:
        with socket.create_connection(upstream.address, CONNECT_SECONDS) as probe:
            closed = select.select([probe], [], [], SETTLE_SECONDS)[0]
            return ProbeResult.REFUSED if closed else ProbeResult.WORKS
    except ConnectionError:
        return ProbeResult.REFUSED
    except OSError:
        return ProbeResult.FAILED
