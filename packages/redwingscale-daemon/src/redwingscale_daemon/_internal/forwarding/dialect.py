"""How requests and answers are written on a platform."""

from http.client import HTTPResponse
from typing import Protocol

from redwingscale_daemon._internal.fleet.backpressure import Backpressure
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.ingress.ingress_request import Headers, IngressRequest


class HeaderValues(Protocol):
    """The headers of an answer, whatever client has read them."""

    def get(self, name: str, /) -> str | None:
        """Return the value of a header, None where it is missing."""


class Dialect(Protocol):
    """Reads and writes headers; decides nothing."""

    def read_terms(self, request: IngressRequest) -> Terms | str:
        """Return what the caller's headers say, or what is wrong with them."""

    def forwarded_headers(
        self, request: IngressRequest, workspace: str | None = None, *, hide_key: bool = False
    ) -> Headers:
        """Return the headers that every upstream gets; ``hide_key`` leaves out the caller's."""

    def attempt_headers(
        self,
        common: Headers,
        upstream_name: str,
        seconds_left: float,
        priority: int,
        last_event: int | None,
    ) -> Headers:
        """Return the headers of one sending to one upstream."""

    def response_headers(self, response: HTTPResponse) -> Headers:
        """Return the headers of an answer that the caller gets."""

    def matches_request(self, response: HTTPResponse, request_id: str) -> bool:
        """Return whether an answer belongs to the request."""

    def is_signed(self, response: HTTPResponse) -> bool:
        """Return whether the answer is the upstream's own, in no encoding."""

    def was_not_run(self, response: HTTPResponse) -> bool:
        """Return whether the upstream says that it has not run the request."""

    def is_misdirected(self, response: HTTPResponse) -> bool:
        """Return whether the upstream is another one, or lacks the unit."""

    def is_from_another(self, response: HTTPResponse, upstream_name: str) -> bool:
        """Return whether another process than ``upstream_name`` has its address now."""

    def read_backpressure(self, status: int, headers: HeaderValues) -> Backpressure:
        """Return what an answer says of its upstream."""

    def idle_seconds(self, response: HTTPResponse) -> float | None:
        """Return how long the connection may be idle, 0 if it closes, None if unsaid."""
