"""The eras of the platform's store."""

import threading
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

# Called with the era that was the newest before, None for the first one, and the new one.
EraListener = Callable[[int | None, int], None]
# Of a store that does not tell its era.
UNTOLD_ERA = 0


class StoreEras:
    """The newest era that this instance has heard of, from the store or from an instance.

    A store that comes back from an older copy begins a new era.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._newest: int | None = None
        self._listeners: list[EraListener] = []

    def on_rise(self, listener: EraListener) -> None:
        """Call ``listener`` with each new era."""
        self._listeners.append(listener)

    @property
    def newest(self) -> int:
        """The newest era that is known, `UNTOLD_ERA` before the first one."""
        return UNTOLD_ERA if self._newest is None else self._newest

    def note(self, era: int, source: str) -> None:
        """Note that ``source`` knows of ``era``."""
        before = self._newest
        if before is not None and era <= before:
            return
        with self._lock:
            before = self._newest
            if before is not None and era <= before:
                return
            self._newest = era
        level = "INFO" if before is None else "WARNING"
        log_event("store_era", level=level, era=era, before=before, source=source)
        for listener in self._listeners:
            listener(before, era)
