"""One request at the gate."""

import threading

from redwingscale_daemon._internal.admission.arrival import Arrival
from redwingscale_daemon._internal.exceptions import Refusal


class Ticket:
    """Waits to be admitted or refused; ``admitted_at`` is on the gate's clock."""

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.admitted_at: float | None = None
        self.refusal: Refusal | None = None
        self._decided = threading.Event()

    def admit(self, now: float) -> None:
        """Let the request run."""
        self.admitted_at = now
        self._decided.set()

    def refuse(self, refusal: Refusal) -> None:
        """Give the request its final answer."""
        self.refusal = refusal
        self._decided.set()

    def is_decided(self, wait_seconds: float = 0.0) -> bool:
        """Return whether it may run or is refused, after at most ``wait_seconds``."""
        return self._decided.wait(wait_seconds)
