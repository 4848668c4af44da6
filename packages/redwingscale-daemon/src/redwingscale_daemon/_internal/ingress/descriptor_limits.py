"""Bounds the idle connections of an instance by the descriptors that its process may have."""

import resource
from typing import NamedTuple

# For files, libraries and the sockets of the instance itself.
RESERVED_DESCRIPTORS = 200
# The rest is for open requests, each of which has one connection to its caller and one to an
# upstream, and for calls to the store and other instances.
CALLERS_FRACTION = 0.4
UPSTREAMS_FRACTION = 0.2
PEERS_FRACTION = 0.05
# Beyond this, idle connections cost memory and help no caller.
MAX_IDLE_CONNECTIONS = 2000


class IdleLimits(NamedTuple):
    """How many connections may be idle: of callers, of other instances, to all upstreams."""

    callers: int
    peers: int
    upstreams: int


def idle_limits(descriptors: int | None = None) -> IdleLimits:
    """Return the bounds for a process that may have ``descriptors``.

    Its own limit holds as well, and alone if ``descriptors`` is None.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    given = [one for one in (descriptors, soft) if one is not None and one >= 0]
    if not given:
        return IdleLimits(MAX_IDLE_CONNECTIONS, MAX_IDLE_CONNECTIONS, MAX_IDLE_CONNECTIONS)
    available = max(0, min(given) - RESERVED_DESCRIPTORS)
    return IdleLimits(
        *(
            min(MAX_IDLE_CONNECTIONS, int(available * fraction))
            for fraction in (CALLERS_FRACTION, PEERS_FRACTION, UPSTREAMS_FRACTION)
        )
    )
