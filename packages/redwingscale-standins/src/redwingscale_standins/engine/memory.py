"""Accelerator memory of one engine: what is resident, and the peak it reached."""

import threading
from typing import NamedTuple

LOADING = "loading"
READY = "ready"
UNLOADING = "unloading"


class Resident(NamedTuple):
    """A unit in memory; it takes its whole size while loading and unloading."""

    unit: str
    size_bytes: int
    phase: str


class Memory:
    """Records its own peak, so that a test can judge the orders it was given."""

    def __init__(self, capacity_bytes: int) -> None:
        self._lock = threading.Lock()
        self._residents: dict[str, Resident] = {}
        self.capacity_bytes = capacity_bytes
        self.peak_bytes = 0
        self.overcommits = 0

    def add(self, unit: str, size_bytes: int) -> bool:
        """Take memory for ``unit``; return False when it is already there."""
        with self._lock:
            if unit in self._residents:
                return False
            self._residents[unit] = Resident(unit, size_bytes, LOADING)
            used = sum(r.size_bytes for r in self._residents.values())
            self.peak_bytes = max(self.peak_bytes, used)
            self.overcommits += int(used > self.capacity_bytes)
            return True

    def set_phase(self, unit: str, phase: str) -> None:
        """Set the phase of ``unit`` if it is there."""
        with self._lock:
            if unit in self._residents:
                self._residents[unit] = self._residents[unit]._replace(phase=phase)

    def remove(self, unit: str) -> None:
        """Free the memory of ``unit``, if it is there."""
        with self._lock:
            self._residents.pop(unit, None)

    def residents(self) -> list[Resident]:
        """Return everything that takes memory now."""
        with self._lock:
            return list(self._residents.values())

    def is_ready(self, unit: str) -> bool:
        """Return whether ``unit`` can answer requests."""
        with self._lock:
            resident = self._residents.get(unit)
            return resident is not None and resident.phase == READY
