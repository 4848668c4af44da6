"""Ways for instances to share a limit: the daemon's own, and two to compare it with."""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from redwingscale_daemon._internal.workspaces.use_limiter import Drawn, UseLimiter
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry, GrantEntry
from redwingscale_daemon._internal.workspaces.workspace import Workspace

# Tokens that all instances together may admit beyond a limit.
SLACK_TOKENS = 17_000
Clock = Callable[[], float]


class Way(Protocol):
    """One instance's end of a shared limit."""

    def admits(self, workspace: Workspace, tokens: int) -> bool:
        """Return whether a request is admitted, and count it if so."""

    def updates(self) -> list[DrawnEntry]:
        """Return the entries to send to the leader."""

    def receive(self, grants: Iterable[GrantEntry]) -> None:
        """Apply the grants of the leader."""


class Granted:
    """The daemon's way: each instance's share follows the demand on it."""

    def __init__(self, instances: int, clock: Clock, source: random.Random) -> None:
        self._limiter = UseLimiter(lambda: instances, SLACK_TOKENS, clock, source)
        self.updates = self._limiter.updates
        self.receive = self._limiter.receive

    def admits(self, workspace: Workspace, tokens: int) -> bool:
        """Return whether a request is admitted, and count it if so."""
        return isinstance(self._limiter.draw(workspace, tokens), Drawn)


class FixedPart:
    """Each instance keeps an equal share of limit and burst; no messages are sent."""

    def __init__(self, instances: int, clock: Clock, source: random.Random) -> None:
        self._fraction = 1.0 / instances
        self._clock = clock
        self._levels: dict[str, tuple[float, float]] = {}

    def admits(self, workspace: Workspace, tokens: int) -> bool:
        """Return whether a request is admitted, and count it if so."""
        limit, now = workspace.limit, self._clock()
        assert limit is not None
        burst = limit.burst * self._fraction
        level, at = self._levels.get(workspace.name, (burst, now))
        level = min(burst, level + limit.per_second * self._fraction * (now - at))
        let_in = level >= 0
        self._levels[workspace.name] = (level - tokens * let_in, now)
        return let_in

    def updates(self) -> list[DrawnEntry]:
        """Return no entries."""
        return []

    def receive(self, grants: Iterable[GrantEntry]) -> None:
        """Ignore the grants."""


class ToldLevel:
    """Each instance admits while the announced level, less its own use since, is not negative."""

    def __init__(self, instances: int, clock: Clock, source: random.Random) -> None:
        self._clock = clock
        self._used: dict[str, float] = {}
        # The announced level, when it was received, and the own use until then.
        self._announced: dict[str, tuple[float, float, float]] = {}

    def admits(self, workspace: Workspace, tokens: int) -> bool:
        """Return whether a request is admitted, and count it if so."""
        limit, now = workspace.limit, self._clock()
        assert limit is not None
        used = self._used.get(workspace.name, 0.0)
        left, at, used_then = self._announced.get(workspace.name, (limit.burst, now, used))
        let_in = left + limit.per_second * (now - at) - (used - used_then) >= 0
        self._used[workspace.name] = used + tokens * let_in
        return let_in

    def updates(self) -> list[DrawnEntry]:
        """Return the total use by workspace."""
        return [DrawnEntry(name, 0.0, used) for name, used in self._used.items()]

    def receive(self, grants: Iterable[GrantEntry]) -> None:
        """Store the levels: ``offered`` of a grant is the tokens left of the limit."""
        now = self._clock()
        for grant in grants:
            used = self._used.get(grant.workspace, 0.0)
            self._announced[grant.workspace] = (grant.offered, now, used)
