"""The configuration version in force at this instance, which only rises."""

import threading
from collections.abc import Callable

from redwingscale_common.configuration import load_accepted_text
from redwingscale_common.exceptions import CheckFailed
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.configuration.accepted import Accepted, VersionedText
from redwingscale_daemon._internal.configuration.peer_texts import PeerTexts
from redwingscale_daemon._internal.configuration.peer_versions import (
    TOPIC,
    PeerVersions,
    decode_version_entry,
)
from redwingscale_daemon._internal.configuration.quorum import Quorum
from redwingscale_daemon._internal.configuration.store import ConfigurationStore
from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState

Listener = Callable[[Accepted], None]


class CurrentConfiguration:
    """Follows the platform's pointer by polling, and the peers when they are ahead.

    A peer that announces a higher version triggers the next poll. While the
    platform does not respond, the text comes from a peer. An instance that has a
    version in force, or has read the platform's pointer once, accepts any higher
    version; an instance that has neither waits for its `Quorum`.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        gossip: GossipState,
        versions: PeerVersions,
        texts: PeerTexts,
        quorum: Quorum,
    ) -> None:
        self._lock = threading.Lock()
        self._store = store
        self._versions = versions
        self._texts = texts
        self._quorum = quorum
        self._listeners: list[Listener] = []
        self._accepted: Accepted | None = None
        self._platform_read = False
        self._platform_failing = False
        self._wake: Callable[[], None] = lambda: None
        texts.serve(self._versioned_text, self._wake_up)
        quorum.rosters.on_response(self._wake_up)
        gossip.subscribe(TOPIC, self._on_entry)

    def get(self) -> Accepted | None:
        """Return the version in force; None before the first one."""
        return self._accepted

    def not_ready_reason(self) -> str:
        """Return why no version is in force yet."""
        if self._platform_read:
            return "no configuration"
        count = self._quorum.count()
        return f"no configuration: heard {count.live} of the {count.needed} peers needed"

    def on_change(self, listener: Listener) -> None:
        """Call ``listener`` with each version that comes into force."""
        self._listeners.append(listener)

    def on_wake(self, wake: Callable[[], None]) -> None:
        """Call ``wake`` when `refresh` should run before its interval has passed."""
        self._wake = wake

    def refresh(self) -> None:
        """Put the newest available version in force."""
        for offer in self._texts.take_offers():
            if self._may_accept(offer.pointer.version):
                self.put_in_force(offer)
        if self._platform_failing:
            # The platform may take until its timeout to respond; the peers are queried first.
            self._request_from_peers()
        try:
            self._read_platform()
        except PlatformUnavailable as error:
            if not self._platform_failing:
                log_event("configuration_unavailable", level="WARNING", error=error)
            self._platform_failing = True
            self._request_from_peers()

    def put_in_force(self, versioned: VersionedText) -> None:
        """Put an accepted version in force, unless it or a newer one already is."""
        if not self._is_newer(versioned.pointer.version):
            return
        accepted = _load(versioned)
        if accepted is None:
            return
        with self._lock:
            if not self._is_newer(versioned.pointer.version):
                return
            self._accepted = accepted
        pointer = versioned.pointer
        log_event("configuration_in_force", version=pointer.version, digest=pointer.digest[:12])
        self._versions.publish(pointer.version)
        for listener in self._listeners:
            listener(accepted)

    def _read_platform(self) -> None:
        pointer = self._store.pointer()
        self._platform_read = True
        self._platform_failing = False
        if pointer is not None and self._is_newer(pointer.version):
            self.put_in_force(VersionedText(pointer, self._store.text(pointer.digest)))

    def _request_from_peers(self) -> None:
        if not self._has_base():
            self._quorum.rosters.request()
        entries = self._versions.by_instance()
        highest = max((entry.version for entry in entries.values()), default=0)
        if not self._is_newer(highest):
            return
        wanted = highest if self._has_base() else self._quorum.count().highest_version
        ahead = {peer for peer, entry in entries.items() if entry.version >= wanted}
        if wanted and self._may_accept(wanted):
            self._texts.request(ahead, wanted)

    def _may_accept(self, version: int) -> bool:
        if self._has_base():
            return self._is_newer(version)
        count = self._quorum.count()
        return count.is_reached and version >= count.highest_version

    def _has_base(self) -> bool:
        return self._platform_read or self._accepted is not None

    def _is_newer(self, version: int) -> bool:
        return version > (self._accepted.pointer.version if self._accepted else 0)

    def _versioned_text(self) -> VersionedText | None:
        accepted = self._accepted
        return VersionedText(accepted.pointer, accepted.text) if accepted else None

    def _on_entry(self, entry: Entry) -> None:
        version_entry = decode_version_entry(entry)
        if version_entry is not None and self._is_newer(version_entry.version):
            self._wake_up()

    def _wake_up(self) -> None:
        self._wake()


def _load(versioned: VersionedText) -> Accepted | None:
    """Return the parsed version; None, with a log line, if this release cannot read it."""
    try:
        configuration = load_accepted_text("configuration", versioned.text)
    except CheckFailed as failed:
        log_event(
            "configuration_not_readable",
            level="ERROR",
            version=versioned.pointer.version,
            finding=failed.findings[0].render("configuration"),
        )
        return None
    return Accepted(versioned.pointer, versioned.text, configuration)
