"""Which version is in force at each instance, as the instances tell on the board."""

from typing import NamedTuple

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState

TOPIC = "configuration"
KEY = ""


class VersionEntry(NamedTuple):
    """The payload of an instance's entry: 0 stands for no version yet.

    Only the number is told: with the whole text in the entry, an apply at 860
    models would cost each link hundreds of kilobytes for each instance.
    """

    failure_domain: str
    version: int


class PeerVersions:
    """Publishes this instance's version and reads those of the others."""

    def __init__(self, gossip: GossipState, failure_domain: str) -> None:
        self._gossip = gossip
        self._failure_domain = failure_domain

    def publish(self, version: int) -> None:
        """Tell all instances which version is in force here."""
        self._gossip.publish(TOPIC, KEY, VersionEntry(self._failure_domain, version))

    def by_instance(self) -> dict[str, VersionEntry]:
        """Return what each instance told last; ill-formed entries are left out."""
        entries = {
            entry.origin: decode_version_entry(entry) for entry in self._gossip.entries(TOPIC)
        }
        return {origin: entry for origin, entry in entries.items() if entry is not None}

    def versions(self, listed: list[str]) -> dict[str, int]:
        """Return the version at each listed instance, 0 where none is known."""
        entries = self.by_instance()
        return {i: entries[i].version if i in entries else 0 for i in sorted(listed)}


def decode_version_entry(entry: Entry) -> VersionEntry | None:
    """Return the payload of ``entry``; None when it is not well-formed."""
    try:
        return msgspec.msgpack.decode(entry.payload, type=VersionEntry)
    except msgspec.MsgspecError:
        return None
