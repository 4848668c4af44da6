"""What the order giver tells of the list of upstreams."""

import msgspec

from redwingscale_daemon._internal.fleet.upstream import Upstream


class ListTold(msgspec.Struct, array_like=True):
    """What has ``changed`` or ``gone`` in the last seconds, read ``age`` seconds ago."""

    changed: list[Upstream]
    gone: list[str]
    age: float
