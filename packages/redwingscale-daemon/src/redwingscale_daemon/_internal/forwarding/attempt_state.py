"""What is known of one attempt, and of an answer that is kept for later."""

import time
from typing import NamedTuple

from redwingscale_daemon._internal.ingress.ingress_request import Headers


class FailedResponse(NamedTuple):
    """An upstream's failure, returned to the caller if no later attempt succeeds.

    Its body is in the `HeldBytes` of the request.
    """

    status: int
    headers: Headers


class AttemptState:
    """When one attempt was sent, whether its head has arrived, and the events after it."""

    def __init__(self) -> None:
        self.sent_at = time.monotonic()
        self.events_received = 0
        # Monotonic time at which the head of its answer came, None before.
        self.head_at: float | None = None

    @property
    def head_received(self) -> bool:
        """Whether the head of its answer has come."""
        return self.head_at is not None

    def note_head(self) -> None:
        """Note the head of its answer."""
        self.head_at = time.monotonic()

    def seconds_since_send(self) -> float:
        """Return the seconds since the attempt was sent."""
        return time.monotonic() - self.sent_at
