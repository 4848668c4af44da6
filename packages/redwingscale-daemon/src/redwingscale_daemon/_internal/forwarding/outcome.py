"""The possible outcomes of sending a request to one upstream."""

from http.client import HTTPResponse, IncompleteRead
from typing import NamedTuple

from redwingscale_daemon._internal.exceptions import UpstreamSilent
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.upstream_connection import UpstreamConnection


class Answering(NamedTuple):
    """The head of the upstream's response has arrived; its body is unread."""

    upstream: Upstream
    connection: UpstreamConnection
    response: HTTPResponse


class NotRun(NamedTuple):
    """The upstream has not run the request and never will.

    ``misdirected``: the unit is not resident there, or another process has the
    upstream's address, in which case ``gone`` is set as well. Otherwise the upstream is
    full, or cannot be reached (``reached`` is False; ``refused`` if its address refuses
    connections, ``slow`` if a connection did not open in the short time of a second attempt).
    ``retry_later``: the upstream named a time from which it accepts requests
    again. ``no_repeat``: nothing was sent, since the budget allows no further sending.
    ``left``: nothing was sent, since the upstream has begun to leave or is no longer listed.
    """

    upstream: Upstream
    reason: str
    misdirected: bool
    reached: bool
    gone: bool = False
    retry_later: bool = False
    refused: bool = False
    slow: bool = False
    no_repeat: bool = False
    left: bool = False


class Lost(NamedTuple):
    """No valid response arrived: the request may have run.

    ``broken``: the upstream's end closed or reset the connection, as it does when its
    process ends. ``silent``: it sent nothing for too long. Otherwise its response was invalid.
    """

    upstream: Upstream
    reason: str
    broken: bool = False
    silent: bool = False


def lost_by(upstream: Upstream, error: Exception, detail: str = "") -> Lost:
    """Return the loss of a request whose exchange with ``upstream`` raised ``error``."""
    broken = isinstance(error, ConnectionError | IncompleteRead)
    return Lost(upstream, f"{detail}{error!r}", broken, isinstance(error, UpstreamSilent))
