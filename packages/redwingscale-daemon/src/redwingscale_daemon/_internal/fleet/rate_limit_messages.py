"""Messages between instances and the leader about the rate limits of upstreams."""

import msgspec

from redwingscale_daemon._internal.fleet.send_permits import MAX_DELAY_SECONDS


class RateLimitEntry(msgspec.Struct, array_like=True):
    """An upstream's limit as one instance knows it, ``age`` seconds old.

    ``per_second`` is None if the upstream no longer has a limit. ``wanted`` is whether
    requests here could use the upstream, ``waiting`` how many of them have no other
    upstream, the first for ``longest_wait`` seconds, and ``used`` how many requests a
    second were sent lately.
    """

    upstream: str
    per_second: float | None
    age: float
    wanted: bool
    waiting: int
    used: float
    longest_wait: float = 0.0


class PermitEntry(msgspec.Struct, array_like=True):
    """An upstream's limit as the leader knows it, and the permits that it issues.

    ``waiting`` is the number of requests over all instances that have no other upstream.
    """

    upstream: str
    per_second: float | None
    age: float
    waiting: int
    permits_by_instance: dict[str, int]

    def delayed(self, seconds: float) -> "PermitEntry":
        """Return the entry as it is after ``seconds`` in transit.

        Permits that were in transit for too long are void.
        """
        permits = self.permits_by_instance if seconds <= MAX_DELAY_SECONDS else {}
        return msgspec.structs.replace(self, age=self.age + seconds, permits_by_instance=permits)
