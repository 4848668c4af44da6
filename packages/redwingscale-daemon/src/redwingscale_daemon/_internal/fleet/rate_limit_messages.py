"""What instances and the order giver tell each other of the rate limits of upstreams."""

import msgspec

from redwingscale_daemon._internal.fleet.send_permits import MAX_DELAY_SECONDS


class RateLimitEntry(msgspec.Struct, array_like=True):
    """What one instance knows of an upstream's limit, ``age`` seconds old.

    ``per_second`` is None where the upstream had a limit and has none any more. ``wanted``
    tells whether requests here could use the upstream, ``waiting`` how many have no
    other, the first of them for ``longest_wait`` seconds, and ``used`` how many a second
    were sent lately.
    """

    upstream: str
    per_second: float | None
    age: float
    wanted: bool
    waiting: int
    used: float
    longest_wait: float = 0.0


class PermitEntry(msgspec.Struct, array_like=True):
    """What the order giver knows of an upstream's limit, and whom it issues permits.

    ``waiting`` requests over all instances have no other upstream.
    """

    upstream: str
    per_second: float | None
    age: float
    waiting: int
    permits_by_instance: dict[str, int]

    def delayed(self, seconds: float) -> "PermitEntry":
        """Return the entry as it is after ``seconds`` on its way."""
        permits = self.permits_by_instance if seconds <= MAX_DELAY_SECONDS else {}
        return msgspec.structs.replace(self, age=self.age + seconds, permits_by_instance=permits)
