"""How many instances there are, as far as anybody has told."""

from collections.abc import Callable

# Before instances are heard of: a deployment of the usual size.
DEFAULT_INSTANCES = 6


class InstanceCount:
    """The most that this process has heard of: shares counted by it are never too large."""

    def __init__(self, read_recorded: Callable[[], int]) -> None:
        # What the order giver's row tells as last read: asked for each time, as a process
        # that has just begun counts by it from its first request on.
        self._read_recorded = read_recorded
        self._highest = DEFAULT_INSTANCES

    def __call__(self) -> int:
        """Return the count."""
        self._highest = max(self._highest, self._read_recorded())
        return self._highest

    def receive(self, instances: int) -> None:
        """Take what the order giver tells."""
        self._highest = max(self._highest, instances)
