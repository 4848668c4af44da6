"""The leader's update about the list of upstreams."""

from collections.abc import Iterable
from typing import cast

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
    # Apart from the upstreams: instances of the release before decode these only without it.
    software: dict[str, str] = {}

    def upstreams(self) -> list[Upstream]:
        """Return the ``changed`` upstreams with their software, None where it is not told."""
        return [one._replace(software=self.software.get(one.id)) for one in self.changed]


def make_list_update(
    changed: Iterable[Upstream], gone: list[str], age: float, digest: int, version: int
) -> ListUpdate:
    """Return the update about ``changed`` upstreams, encoded apart from their software."""
    listed = list(changed)
    software = {one.id: one.software for one in listed if one.software is not None}
    return ListUpdate(
        [_without_software(one) for one in listed], gone, age, digest, version, software
    )


def _without_software(upstream: Upstream) -> Upstream:
    # It has the length that instances of the release before expect.
    return cast(Upstream, upstream[: Upstream._fields.index("software")])
