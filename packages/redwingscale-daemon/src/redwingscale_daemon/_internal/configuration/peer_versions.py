"""The version in force at each instance, from the gossip state."""

from typing import NamedTuple

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState

TOPIC = "configuration"
KEY = ""


class VersionEntry(NamedTuple):
    """The payload of an instance's entry; version 0 stands for no version yet.

    The entry has the number only: with the whole text, an apply at 860 models
    would send hundreds of kilobytes for each instance over each link.
    """

    failure_domain: str
    version: int


class PeerVersions:
    """Publishes this instance's version and reads those of the others."""

    def __init__(self, gossip: GossipState, failure_domain: str) -> None:
        self._gossip = gossip
        self._failure_domain = failure_domain

    def publish(self, version: int) -> None:
        """Announce the version in force here to all instances."""
        self._gossip.publish(TOPIC, KEY, VersionEntry(self._failure_domain, version))

    def by_instance(self) -> dict[str, VersionEntry]:
        """Return the last entry of each instance, without those that are not well-formed."""
        entries = {
            entry.origin: decode_version_entry(entry) for entry in self._gossip.entries(TOPIC)
        }
        return {origin: entry for origin, entry in entries.items() if entry is not None}

    def versions(self, listed: list[str]) -> dict[str, int]:
        """Return the version at each listed instance, 0 where none was received."""
        entries = self.by_instance()
        return {i: entries[i].version if i in entries else 0 for i in sorted(listed)}


def decode_version_entry(entry: Entry) -> VersionEntry | None:
    """Return the payload of ``entry``; None if it is not well-formed."""
    try:
        return msgspec.msgpack.decode(entry.payload, type=VersionEntry)
    except msgspec.MsgspecError:
        return None
