"""Tells the threads that read requests that their port has closed."""

import math
import os


class PortStop:
    """``descriptor`` becomes readable when the port has closed; ``read_until`` is monotonic."""

    def __init__(self) -> None:
        self.descriptor, self._write_end = os.pipe()
        # Requests whose first byte has come are read until then.
        self.read_until = math.inf

    def begin(self, read_until: float) -> None:
        """Wake all threads that wait for bytes."""
        self.read_until = read_until
        os.close(self._write_end)

    @property
    def begun(self) -> bool:
        """Whether the port has closed."""
        return self.read_until < math.inf
