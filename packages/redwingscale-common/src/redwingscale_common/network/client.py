"""HTTP out, by urllib3, without retries or redirects of its own."""

import urllib3

MAX_IDLE_CONNECTIONS = 64


def new_pool(*, connections: int = MAX_IDLE_CONNECTIONS) -> urllib3.PoolManager:
    """Return a pool that sends each request exactly once.

    urllib3 retries and follows redirects unless told otherwise, which would
    run a request again behind the back of the retry policy.
    """
    return urllib3.PoolManager(
        num_pools=2048,
        maxsize=connections,
        block=False,
        retries=False,
    )


def timeout(connect: float, read: float) -> urllib3.Timeout:
    """Return the bounds of one call: ``connect`` and each ``read``, in seconds."""
    return urllib3.Timeout(connect=connect, read=read)
