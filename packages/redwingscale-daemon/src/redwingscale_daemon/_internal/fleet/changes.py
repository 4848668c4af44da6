"""A counter that threads can wait on."""

import threading


class Changes:
    """Wakes waiting requests when something that they may wait for has changed."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Number of changes so far; pass it to `wait`."""
        return self._count

    def notify(self) -> None:
        """Count a change and wake all waiting threads."""
        with self._condition:
            self._count += 1
            self._condition.notify_all()

    def wait(self, seen: int, seconds: float) -> None:
        """Return at the first change after ``seen``, or after ``seconds``."""
        with self._condition:
            self._condition.wait_for(lambda: self._count != seen, seconds)
