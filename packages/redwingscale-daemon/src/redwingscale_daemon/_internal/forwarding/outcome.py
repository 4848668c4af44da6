"""How sending a request to one upstream can end."""

from http.client import HTTPResponse
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.upstream_connection import UpstreamConnection


class Answering(NamedTuple):
    """The head of the upstream's own answer has come; its body has not been read."""

    upstream: Upstream
    connection: UpstreamConnection
    response: HTTPResponse


class NotRun(NamedTuple):
    """The upstream has not run the request and never will.

    ``wrong_place`` tells that it does not hold what the request asks for, or is
    another process than the one meant, which then is ``gone``; else it is full or
    cannot be reached. ``retry_later`` tells that it has named the time from which it
    takes requests again.
    """

    upstream: Upstream
    reason: str
    wrong_place: bool
    reached: bool
    gone: bool = False
    retry_later: bool = False


class Lost(NamedTuple):
    """No sound answer: the request may have run."""

    upstream: Upstream
    reason: str
