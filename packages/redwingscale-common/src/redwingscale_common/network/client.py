"""HTTP client by urllib3 without automatic retries and redirects."""

from collections.abc import Iterator

import urllib3

from redwingscale_common.network.strict_responses import StrictPools

MAX_IDLE_CONNECTIONS = 64
PIECE_BYTES = 64 << 10


def new_pool(*, connections: int = MAX_IDLE_CONNECTIONS) -> urllib3.PoolManager:
    """Return a connection pool that sends each request exactly once.

    By default urllib3 retries and follows redirects, which would run a request again
    without the knowledge of the retry policy.
    """
    return StrictPools(
        num_pools=2048,
        maxsize=connections,
        block=False,
        retries=False,
    )


def read_pieces(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the body as it arrives; raises `HTTPError` if it is truncated or not valid.

    `BaseHTTPResponse.stream` parses the sizes of chunks by itself, and accepts others.
    """
    while piece := response.read1(PIECE_BYTES, decode_content=False):
        yield piece


def timeout(connect: float, read: float) -> urllib3.Timeout:
    """Return the timeouts of one request in seconds: ``connect``, and ``read`` for each read."""
    return urllib3.Timeout(connect=connect, read=read)
