"""The leader's update about the list of upstreams."""

from collections.abc import Iterable
from typing import cast

import msgspec

from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.store.store_version import StoreVersion


class ListUpdate(msgspec.Struct, array_like=True):
    """Upstreams that have ``changed`` or are ``gone`` in the last few seconds.

    The list was read ``age`` seconds ago, at the store's ``version``. ``digest`` is
    that of the whole list: an instance that lost an earlier change finds that its own
    copy has another digest.
    """

    changed: list[Upstream]
    gone: list[str]
    age: float
    digest: int
    # The number of ``version``.
    number: int
    # Apart from the upstreams: instances of the release before decode these only without it.
    software: dict[str, str] = {}
    # The era of ``version``.
    era: int = 0

    @property
    def version(self) -> StoreVersion:
        """The version at which the list was read."""
        return StoreVersion(self.era, self.number)

    def upstreams(self) -> list[Upstream]:
        """Return the ``changed`` upstreams with their software, None where it is not told."""
        return [
            one._replace(software=self.software.get(one.id), era=self.era) for one in self.changed
        ]


def make_list_update(
    changed: Iterable[Upstream], gone: list[str], age: float, digest: int, version: StoreVersion
) -> ListUpdate:
    """Return the update about ``changed`` upstreams, encoded apart from their software."""
    listed = list(changed)
    software = {one.id: one.software for one in listed if one.software is not None}
    return ListUpdate(
        [_without_software(one) for one in listed],
        gone,
        age,
        digest,
        version.number,
        software,
        version.era,
    )


def _without_software(upstream: Upstream) -> Upstream:
    # It has the length that instances of the release before expect.
    return cast(Upstream, upstream[: Upstream._fields.index("software")])
