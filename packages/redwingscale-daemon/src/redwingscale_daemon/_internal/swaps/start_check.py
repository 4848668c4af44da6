"""Whether a process that starts has the configuration that its peers have."""

import threading
import time
from collections.abc import Callable, Sequence

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.store.store_eras import UNTOLD_ERA, StoreEras

POLL_SECONDS = 0.05
# An instance without a peer that answers serves after this time what the store has.
ALONE_SECONDS = 1.5


class StartCheck:
    """Asks peers for a newer configuration once, before the instance is ready.

    A store that came back from an older copy has an older configuration until the later
    ones are written again: withdrawn keys and removed routes would work here. In the first
    era of a store there has been no copy.
    """

    def __init__(
        self,
        routes: CurrentRoutes,
        eras: StoreEras,
        peers: Callable[[], Sequence[str]],
        ask: Callable[[str], bool],
    ) -> None:
        self._routes = routes
        self._eras = eras
        # The addresses of peers that the leader's row names.
        self._peers = peers
        # Takes a newer configuration of the peer; returns whether the peer has answered.
        self._ask = ask
        self._stopped = False
        self.done = False
        self._thread = threading.Thread(target=self._run, name="start-check", daemon=True)

    def start(self) -> None:
        """Start the check, which ends by itself."""
        self._thread.start()

    def stop(self) -> None:
        """End the check."""
        self._stopped = True

    def _run(self) -> None:
        while self._routes.get() is None and not self._stopped:
            time.sleep(POLL_SECONDS)
        begun_at = time.monotonic()
        peer = self._find_peer(begun_at + ALONE_SECONDS)
        self.done = True
        table = self._routes.get()
        log_event(
            "start_checked",
            configuration=table.version if table else None,
            era=self._eras.newest,
            peer=peer,
            seconds=round(time.monotonic() - begun_at, 3),
        )

    def _find_peer(self, until: float) -> str | None:
        """Return the peer that has answered, None if none was needed or has until then."""
        while self._eras.newest > UNTOLD_ERA and not self._stopped:
            for peer in self._peers():
                if self._ask(peer):
                    return peer
            if time.monotonic() > until:
                return None
            time.sleep(POLL_SECONDS)
        return None
