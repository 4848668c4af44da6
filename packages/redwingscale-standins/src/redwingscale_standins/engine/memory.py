"""Accelerator memory of one engine: resident units and peak use."""

import threading
from typing import NamedTuple

LOADING = "loading"
READY = "ready"
UNLOADING = "unloading"


class Resident(NamedTuple):
    """A unit in memory; it occupies its whole size also while loading and unloading."""

    unit: str
    size_bytes: int
    phase: str


class Memory:
    """Resident units; records peak use and overcommits, so that tests can check the orders."""

    def __init__(self, capacity_bytes: int) -> None:
        self._lock = threading.Lock()
        self._residents: dict[str, Resident] = {}
        self.capacity_bytes = capacity_bytes
        self.peak_bytes = 0
        self.overcommits = 0

    def add(self, unit: str, size_bytes: int) -> bool:
        """Allocate memory for ``unit``; return False if it is already resident."""
        with self._lock:
            if unit in self._residents:
                return False
            self._residents[unit] = Resident(unit, size_bytes, LOADING)
            used = sum(r.size_bytes for r in self._residents.values())
            self.peak_bytes = max(self.peak_bytes, used)
            self.overcommits += int(used > self.capacity_bytes)
            return True

    def set_phase(self, unit: str, phase: str) -> None:
        """Set the phase of ``unit``, if it is resident."""
        with self._lock:
            if unit in self._residents:
                self._residents[unit] = self._residents[unit]._replace(phase=phase)

    def remove(self, unit: str) -> None:
        """Free the memory of ``unit``, if it is resident."""
        with self._lock:
            self._residents.pop(unit, None)

    def residents(self) -> list[Resident]:
        """Return all units that occupy memory, whatever their phase."""
        with self._lock:
            return list(self._residents.values())

    def is_ready(self, unit: str) -> bool:
        """Return whether ``unit`` can serve requests."""
        with self._lock:
            resident = self._residents.get(unit)
            return resident is not None and resident.phase == READY
