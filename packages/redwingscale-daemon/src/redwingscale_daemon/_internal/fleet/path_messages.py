"""What instances ask each other about their paths to upstreams."""

import math

import msgspec


class PathQuery(msgspec.Struct, array_like=True):
    """Which of ``upstreams`` has the peer heard in the last ``seconds``?

    With a ``passing``, the peer asks no further upstream for the request that was passed on to
    it with this id: the instance that asks does so from now on.
    """

    upstreams: list[str]
    seconds: float
    passing: str = ""


class PathReply(msgspec.Struct, array_like=True):
    """What the peer ``instance`` reaches, and where it takes requests of other instances.

    ``heard`` are the upstreams of the query that it has heard, ``heard_ago`` the seconds since
    it heard any. A request that is passed on to ``host`` and ``port`` needs ``token``.
    ``able``: whether it may take requests now. ``busy`` is the fraction of its request
    threads in use. ``runs``: how many upstreams may run the request of the query there, 0 if
    the peer does not know it. ``binds``: whether it goes on with a begun stream only at the
    software version that it is told; an instance of the release before does not. ``refused``
    are the upstreams of the query whose hosts refuse connections of the peer. ``listed_ago``
    are the seconds since the store gave the list of upstreams that the peer uses, infinite if it
    is of the release before.
    """

    instance: str
    failure_domain: str
    host: str
    port: int
    token: str
    able: bool
    busy: float
    heard: list[str]
    heard_ago: float
    runs: int = 0
    binds: bool = False
    refused: list[str] = msgspec.field(default_factory=list)
    listed_ago: float = math.inf
