"""What the headers of a request ask for, beyond the request itself."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.prompt import Prompt


class Terms(NamedTuple):
    """The terms of one request, decoded from the caller's headers.

    ``deadline_seconds`` counts from the arrival, None without a deadline. ``prompt`` is
    None for a request that runs no model. ``last_event`` is the number of the last event
    that the caller received of this stream, None if it does not resume one. ``tokens`` is
    the total that the request asks for, None if it names none. ``key_digest`` is the
    digest of the caller's key, None if it sent none. ``resumed_request`` is the id of the
    request that brought the first event of the stream, None if the caller names none.
    """

    request_id: str
    deadline_seconds: float | None
    prompt: Prompt | None
    last_event: int | None
    tokens: int | None = None
    key_digest: bytes | None = None
    resumed_request: str | None = None
