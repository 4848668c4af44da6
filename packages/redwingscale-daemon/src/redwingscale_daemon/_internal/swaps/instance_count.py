"""The number of instances that share the limits of the deployment."""

from collections.abc import Callable

# Assumed until a larger count is known: the size of a usual deployment.
DEFAULT_INSTANCES = 6


class InstanceCount:
    """The highest count known to this process, so that a share is never too large."""

    def __init__(self, read_recorded: Callable[[], int]) -> None:
        # Returns the count in the leader's row as last read. Called for each count, so that a
        # process that has just started uses the recorded count from its first request on.
        self._read_recorded = read_recorded
        self._highest = DEFAULT_INSTANCES
        self._received = False

    def if_known(self) -> int | None:
        """Return the count, None before a leader has told it to this process or the store."""
        return self() if self._received or self._read_recorded() > 0 else None

    def __call__(self) -> int:
        """Return the count."""
        self._highest = max(self._highest, self._read_recorded())
        return self._highest

    def receive(self, instances: int) -> None:
        """Take the count from an update of the leader."""
        self._highest = max(self._highest, instances)
        self._received = True
