"""Failed exchanges that may show a lost path."""

from typing import NamedTuple


class Evidence(NamedTuple):
    """Exchanges that failed while no upstream was heard, all in monotonic time.

    The first of them began at ``since``, and the path became suspect at ``noted_at``.
    ``silent`` if too many of them only got no byte in time, as busy upstreams may do, and
    ``refused`` if too many were refused, as by upstreams whose processes have ended.
    """

    upstreams: frozenset[str]
    since: float
    noted_at: float
    silent: bool
    refused: bool = False


class Failure(NamedTuple):
    """A failed exchange that began at the monotonic time ``at``.

    ``refused``: the host of the upstream has refused the connection, or closed it at once.
    """

    at: float
    silent: bool
    refused: bool
