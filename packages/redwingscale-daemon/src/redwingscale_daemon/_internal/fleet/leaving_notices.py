"""Notices between instances of leaving upstreams that an older copy of the store lists again."""

from collections.abc import Callable
from typing import Protocol

from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.membership.entry import Entry

TOPIC = "leaving"


class Entries(Protocol):
    """The entries that all instances exchange."""

    def publish(self, topic: str, key: str, value: object) -> None:
        """Publish ``value`` under ``key`` to all instances."""

    def subscribe(self, topic: str, subscriber: Callable[[Entry], None]) -> None:
        """Call ``subscriber`` with each new entry of ``topic``."""


def share_leaving(directory: UpstreamDirectory, entries: Entries) -> None:
    """Tell all instances what a list of a new era undoes, and take what others tell.

    An instance that had not learned of it before the copy would use the upstream until its
    entry is written again. It may come before there is a leader in the new era.
    """

    def tell(upstream_ids: list[str]) -> None:
        for key in upstream_ids:
            entries.publish(TOPIC, key, True)

    directory.on_undone(tell)
    entries.subscribe(TOPIC, lambda entry: directory.note_leaving([entry.key], "peer"))
