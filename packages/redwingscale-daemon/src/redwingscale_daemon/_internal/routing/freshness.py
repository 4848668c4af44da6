"""Detects engines whose digest is too old to route by."""

from collections.abc import Callable, Mapping

from redwingscale_daemon._internal.upstreams.directory import EngineView

STALE_SECONDS = 30.0
REFRESH_SECONDS = 1.0


class Freshness:
    """Compares an engine's digest with the newest one of its failure domain.

    Digests stop for all engines of a domain while its owners cannot renew their leases
    (the platform is down) or the domain is cut off, but its engines still work. So an
    engine is stale only if a digest of another engine of its domain is much newer.
    """

    def __init__(
        self, engines: Callable[[], Mapping[str, EngineView]], clock: Callable[[], float]
    ) -> None:
        self._engines = engines
        self._clock = clock
        self._newest_by_domain: dict[str, float] = {}
        self._refresh_at = float("-inf")

    def is_stale(self, view: EngineView) -> bool:
        """Return whether the digest of ``view`` is stale, so that the engine must not be used."""
        now = self._clock()
        if now >= self._refresh_at:
            # Scans all engines once per `REFRESH_SECONDS`, not for each request.
            self._refresh_at = now + REFRESH_SECONDS
            self._newest_by_domain = self._newest()
        newest = self._newest_by_domain.get(view.member.failure_domain, view.received_at)
        return newest - view.received_at > STALE_SECONDS

    def _newest(self) -> dict[str, float]:
        newest: dict[str, float] = {}
        for view in self._engines().values():
            domain = view.member.failure_domain
            newest[domain] = max(newest.get(domain, view.received_at), view.received_at)
        return newest
