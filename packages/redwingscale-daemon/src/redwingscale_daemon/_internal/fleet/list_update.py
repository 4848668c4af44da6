"""The leader's update about the list of upstreams."""

import msgspec

from redwingscale_daemon._internal.fleet.upstream import Upstream


class ListUpdate(msgspec.Struct, array_like=True):
    """Upstreams that have ``changed`` or are ``gone`` in the last few seconds.

    The list was read ``age`` seconds ago, at the store's row ``version``. ``digest`` is
    that of the whole list: an instance that lost an earlier change finds that its own
    copy has another digest.
    """

    changed: list[Upstream]
    gone: list[str]
    age: float
    digest: int
    version: int
