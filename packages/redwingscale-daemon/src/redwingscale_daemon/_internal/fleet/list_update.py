"""What the order giver tells of the list of upstreams."""

import msgspec

from redwingscale_daemon._internal.fleet.upstream import Upstream


class ListUpdate(msgspec.Struct, array_like=True):
    """What has ``changed`` or ``gone`` in the last seconds.

    The list was read ``age`` seconds ago, as of the rows' ``version``. ``digest`` is that
    of the whole list: who has missed an earlier change finds that the own copy has
    another one.
    """

    changed: list[Upstream]
    gone: list[str]
    age: float
    digest: int
    version: int
