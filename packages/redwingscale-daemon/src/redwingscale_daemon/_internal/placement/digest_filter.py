"""Selects the digests to publish: those that change how an instance routes."""

from collections.abc import Callable

from redwingscale_daemon._internal.models.report import Digest

# Less than the time after which the planner takes an engine for silent.
REFRESH_SECONDS = 4.0
# A load change is published from this fraction of the slots on: one eighth.
LOAD_STEPS_PER_BATCH = 8


class DigestFilter:
    """Compares a digest with the last one published for the same engine.

    A digest for every poll would cost each instance about 280 bytes per second for
    every engine of the deployment. Residents, leaving, the fence and retiring units are
    published at once, the load when it has changed by an eighth of the slots. Anything
    else is published with the next refresh, which also shows that the owner is alive.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._published: Digest | None = None
        self._published_at = float("-inf")

    def admit(self, digest: Digest) -> bool:
        """Return whether to publish ``digest``; if so, record it as published."""
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
