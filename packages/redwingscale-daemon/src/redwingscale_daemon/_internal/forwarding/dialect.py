"""The interface to the header conventions of a platform."""

from http.client import HTTPResponse
from typing import Protocol

from redwingscale_daemon._internal.fleet.backpressure import Backpressure
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.ingress.ingress_request import Headers, IngressRequest


class HeaderValues(Protocol):
    """The headers of a response, independent of the HTTP client that read them."""

    def get(self, name: str, /) -> str | None:
        """Return the value of a header, None if it is missing."""


class Dialect(Protocol):
    """Reads and writes headers; takes no decisions."""

    def read_terms(self, request: IngressRequest) -> Terms | str:
        """Return the terms in the caller's headers, or a description of what is invalid."""

    def forwarded_headers(
        self, request: IngressRequest, workspace: str | None = None, *, hide_key: bool = False
    ) -> Headers:
        """Return the headers sent to every upstream; ``hide_key`` omits the caller's key."""

    def attempt_headers(
        self,
        common: Headers,
        upstream_name: str,
        seconds_left: float,
        priority: int,
        last_event: int | None,
    ) -> Headers:
        """Return the headers of one attempt at one upstream."""

    def peer_headers(
        self, request: IngressRequest, seconds_left: float, last_event: int | None
    ) -> Headers:
        """Return the headers of a request that is passed on to another instance."""

    def response_headers(self, response: HTTPResponse) -> Headers:
        """Return the headers of a response that are passed on to the caller."""

    def matches_request(self, response: HTTPResponse, request_id: str) -> bool:
        """Return whether a response belongs to the request."""

    def is_signed(self, response: HTTPResponse) -> bool:
        """Return whether the response is signed by the upstream and not encoded."""

    def was_not_run(self, response: HTTPResponse) -> bool:
        """Return whether the upstream states that it has not run the request."""

    def is_misdirected(self, response: HTTPResponse) -> bool:
        """Return whether the request reached another upstream, or one without the unit."""

    def is_from_another(self, response: HTTPResponse, upstream_name: str) -> bool:
        """Return whether a process other than ``upstream_name`` now has its address."""

    def read_backpressure(self, status: int, headers: HeaderValues) -> Backpressure:
        """Return the rate limit, leaving state and retry time in a response's headers."""

    def idle_seconds(self, response: HTTPResponse) -> float | None:
        """Return how long the connection may stay idle.

        0 if the upstream closes it, None if the response does not say.
        """
