"""Which digests are worth telling: those that change what an instance would do."""

from collections.abc import Callable

from redwingscale_daemon._internal.models.report import Digest

# Shorter than the time after which the planner takes an engine for quiet.
REFRESH_SECONDS = 4.0
LOAD_STEPS_PER_BATCH = 8


class DigestFilter:
    """Compares a digest with the last one told about the same engine.

    A digest for every poll would cost each instance some 280 bytes for every
    engine of the deployment each second. What decides (residents, leaving, the
    fence, what retires) is told at once; load when it has moved by an eighth of
    the slots; the rest waits for the refresh that shows that the owner lives.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._published: Digest | None = None
        self._published_at = float("-inf")

    def admit(self, digest: Digest) -> bool:
        """Return whether ``digest`` is to be told; if so it counts as told."""
        now = self._clock()
        if not self._is_significant(digest) and now - self._published_at < REFRESH_SECONDS:
            return False
        self._published = digest
        self._published_at = now
        return True

    def _is_significant(self, digest: Digest) -> bool:
        published = self._published
        if published is None or _without_load(published) != _without_load(digest):
            return True
        moved = abs(_load(digest) - _load(published))
        return moved * LOAD_STEPS_PER_BATCH >= max(1, digest.slots)


def _without_load(digest: Digest) -> Digest:
    return digest._replace(running=0, waiting=0)


def _load(digest: Digest) -> int:
    return digest.running + digest.waiting
