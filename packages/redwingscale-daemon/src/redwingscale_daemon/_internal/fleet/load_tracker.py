"""How much work upstreams have, from what the instances have sent."""

import threading
import time
from collections import Counter, defaultdict
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit

# What other instances have sent is told four times a second; older figures
# say nothing about requests that last half a second.
OTHERS_FRESH_SECONDS = 1.5


class Load(NamedTuple):
    """Requests that are open at an upstream, and prompt tokens that it has yet to read."""

    requests: int
    prompt_tokens: int


NO_LOAD = Load(0, 0)


class LoadTicket:
    """One request at one upstream."""

    def __init__(
        self, load_tracker: "LoadTracker", upstream_id: str, unit: Unit | None, prompt_tokens: int
    ) -> None:
        self._load_tracker = load_tracker
        self._upstream_id = upstream_id
        self._unit = unit
        self._prompt_tokens = prompt_tokens
        self._open = True

    def note_prompt_read(self) -> None:
        """Note the first event: the prompt has been read."""
        if self._prompt_tokens:
            self._load_tracker.add(self._upstream_id, 0, -self._prompt_tokens)
            self._prompt_tokens = 0

    def close(self) -> None:
        """Note the end; a second call does nothing."""
        if self._open:
            self._open = False
            self._load_tracker.add(self._upstream_id, -1, -self._prompt_tokens, self._unit)


class LoadTracker:
    """Own load by upstream id, and what the other instances have told of theirs."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._own: dict[str, Load] = defaultdict(lambda: NO_LOAD)
        self._open_by_unit: Counter[tuple[str, Unit]] = Counter()
        self._others: dict[str, Load] = {}
        self._others_at = float("-inf")

    def open_ticket(self, upstream_id: str, unit: Unit | None, prompt_tokens: int) -> LoadTicket:
        """Count a request in; ``unit`` is what it runs on, None for a plain service."""
        self.add(upstream_id, 1, prompt_tokens, unit)
        return LoadTicket(self, upstream_id, unit, prompt_tokens)

    def add(
        self, upstream_id: str, requests: int, prompt_tokens: int, unit: Unit | None = None
    ) -> None:
        """Change the own load."""
        with self._lock:
            if unit is not None:
                self._open_by_unit[(upstream_id, unit)] += requests
            load = self._own[upstream_id]
            self._own[upstream_id] = Load(
                load.requests + requests, load.prompt_tokens + prompt_tokens
            )

    def open_by_unit(self) -> dict[tuple[str, Unit], int]:
        """Return this instance's open requests by upstream and unit, where there are any."""
        with self._lock:
            self._open_by_unit = +self._open_by_unit
            return dict(self._open_by_unit)

    def own(self) -> dict[str, Load]:
        """Return the own load where there is any."""
        with self._lock:
            return {key: load for key, load in self._own.items() if load.requests}

    def set_others(self, others: dict[str, Load]) -> None:
        """Take the sum of what the other instances have told."""
        with self._lock:
            self._others = others
            self._others_at = time.monotonic()

    def total(self, upstream_id: str) -> Load:
        """Return own and others' load of an upstream."""
        own = self._own.get(upstream_id, NO_LOAD)
        if time.monotonic() - self._others_at > OTHERS_FRESH_SECONDS:
            return own
        others = self._others.get(upstream_id, NO_LOAD)
        return Load(own.requests + others.requests, own.prompt_tokens + others.prompt_tokens)

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop the idle entries of upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                if key in self._own and not self._own[key].requests:
                    del self._own[key]
