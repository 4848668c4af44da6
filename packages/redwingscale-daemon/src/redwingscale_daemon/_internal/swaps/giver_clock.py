"""The order giver's clock, as its newest news tell it."""

from typing import NamedTuple

from redwingscale_daemon._internal.leases.clock import lease_clock

# News that are older are not answered: the giver goes by the answers.
NEWEST_SECONDS = 1.0


class GiverTime(NamedTuple):
    """The giver's ``clock`` in news that came at ``heard_at`` by this machine's."""

    clock: float
    heard_at: float


class GiverClock:
    """Kept to be sent back; the two clocks are never compared."""

    def __init__(self) -> None:
        self._newest: GiverTime | None = None

    def heard(self, clock: float) -> None:
        """Note the clock in news that have just come."""
        self._newest = GiverTime(clock, lease_clock())

    def newest(self) -> GiverTime | None:
        """Return the time in the newest news, None where none came lately."""
        newest = self._newest
        if newest is None or lease_clock() - newest.heard_at > NEWEST_SECONDS:
            return None
        return newest
