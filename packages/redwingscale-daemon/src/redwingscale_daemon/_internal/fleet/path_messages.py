"""What instances ask each other about their paths to upstreams."""

import msgspec


class PathQuery(msgspec.Struct, array_like=True):
    """Which of ``upstreams`` has the peer heard in the last ``seconds``?"""

    upstreams: list[str]
    seconds: float


class PathReply(msgspec.Struct, array_like=True):
    """What the peer ``instance`` reaches, and where it takes requests of other instances.

    ``heard`` are the upstreams of the query that it has heard, ``heard_ago`` the seconds since
    it heard any. A request that is passed on to ``host`` and ``port`` needs ``token``.
    ``able``: whether it may take requests now. ``busy`` is the fraction of its request
    threads in use.
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
