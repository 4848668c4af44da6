"""Which digests are worth telling: those that change what an instance would do."""

from collections.abc import Callable

from redwingscale_daemon._internal.models.report import Digest

# Shorter than the time after which the planner takes an engine for quiet.
REFRESH_SECONDS = 4.0
LOAD_PARTS = 8


class DigestNews:
    """Compares a digest with the last one told about the same engine.

    A digest for every poll would cost each instance some 280 bytes for every
    engine of the deployment each second. What decides (residents, leaving, the
    fence, what retires) is told at once; load when it has moved by an eighth of
    the slots; the rest waits for the refresh that shows that the owner lives.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._told: Digest | None = None
        self._told_at = float("-inf")

    def take(self, digest: Digest) -> bool:
        """Return whether ``digest`` is to be told; if so it counts as told."""
        now = self._clock()
        if not self._is_news(digest) and now - self._told_at < REFRESH_SECONDS:
            return False
        self._told = digest
        self._told_at = now
        return True

    def _is_news(self, digest: Digest) -> bool:
        told = self._told
        if told is None or _without_load(told) != _without_load(digest):
            return True
        moved = abs(_load(digest) - _load(told))
        return moved * LOAD_PARTS >= max(1, digest.slots)


def _without_load(digest: Digest) -> Digest:
    return digest._replace(running=0, waiting=0)


def _load(digest: Digest) -> int:
    return digest.running + digest.waiting
