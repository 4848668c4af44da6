"""The version in force at this instance; it only rises."""

import threading
from collections.abc import Callable

import msgspec
from redwingscale_common.configuration import load_text
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.configuration.accepted import Accepted, Pointer
from redwingscale_daemon._internal.configuration.store import ConfigurationStore
from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.membership.board import Board
from redwingscale_daemon._internal.membership.entry import Entry

TOPIC = "configuration"
KEY = "pointer"

Listener = Callable[[Accepted], None]


class CurrentConfiguration:
    """Follows the pointer by polling and by what peers tell."""

    def __init__(self, store: ConfigurationStore, board: Board) -> None:
        self._lock = threading.Lock()
        self._store = store
        self._board = board
        self._listeners: list[Listener] = []
        self._accepted: Accepted | None = None
        board.subscribe(TOPIC, self._on_entry)

    def get(self) -> Accepted | None:
        """Return the version in force here; None before the first one."""
        return self._accepted

    def on_change(self, listener: Listener) -> None:
        """Call ``listener`` with each version that comes into force here."""
        self._listeners.append(listener)

    def refresh(self) -> None:
        """Read the pointer once and put a newer version in force."""
        try:
            pointer = self._store.pointer()
            if pointer is not None and self._is_newer(pointer):
                self._enforce(pointer, self._store.text(pointer.digest))
        except PlatformUnavailable as error:
            log_event("configuration_unavailable", level="WARNING", error=error)

    def _is_newer(self, pointer: Pointer) -> bool:
        return self._accepted is None or pointer.version > self._accepted.pointer.version

    def _enforce(self, pointer: Pointer, text: str) -> None:
        accepted = Accepted(pointer, text, load_text("configuration", text))
        with self._lock:
            if not self._is_newer(pointer):
                return
            self._accepted = accepted
        log_event("configuration_in_force", version=pointer.version, digest=pointer.digest[:12])
        self._board.publish(TOPIC, KEY, (pointer, text))
        for listener in self._listeners:
            listener(accepted)

    def _on_entry(self, entry: Entry) -> None:
        pointer, text = msgspec.msgpack.decode(entry.payload, type=tuple[Pointer, str])
        if self._is_newer(pointer):
            self._enforce(pointer, text)
