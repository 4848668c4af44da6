"""What is known of one connection of a caller."""

import math
import time


class ConnectionState:
    """Times and counts of a connection; used by its thread and by the one that stops the port."""

    def __init__(self) -> None:
        self.accepted_at = time.monotonic()
        # Requests whose head was read, the current one included.
        self.requests = 0
        # Whether this process has ended the connection, as it stops.
        self.ended = False
        # Monotonic time until which it then sends what is left of an answer.
        self.sends_until = math.inf
