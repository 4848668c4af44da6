"""The state of one request in admission."""

import threading

from redwingscale_daemon._internal.admission.arrival import Arrival
from redwingscale_daemon._internal.exceptions import Refusal


class Ticket:
    """A request that is admitted, refused or waiting; ``admitted_at`` is on the gate's clock."""

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.admitted_at: float | None = None
        self.refusal: Refusal | None = None
        self._decided = threading.Event()

    def admit(self, now: float) -> None:
        """Mark the request as admitted, so that it may run."""
        self.admitted_at = now
        self._decided.set()

    def refuse(self, refusal: Refusal) -> None:
        """Mark the request as refused with ``refusal``."""
        self.refusal = refusal
        self._decided.set()

    def is_decided(self, wait_seconds: float = 0.0) -> bool:
        """Return whether the request is admitted or refused, waiting up to ``wait_seconds``."""
        return self._decided.wait(wait_seconds)
