"""Ways in which instances may share a limit; the standing one is the daemon's own."""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from redwingscale_daemon._internal.workspaces.use_limiter import Drawn, UseLimiter
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry, GrantEntry
from redwingscale_daemon._internal.workspaces.workspace import Workspace

# What all instances may let in beyond a limit.
SLACK_TOKENS = 17_000
Clock = Callable[[], float]


class Way(Protocol):
    """One instance's end."""

    def admits(self, workspace: Workspace, tokens: int) -> bool:
        """Return whether a request may run, and count it."""

    def updates(self) -> list[DrawnEntry]:
        """Return what the order giver is told."""

    def receive(self, grants: Iterable[GrantEntry]) -> None:
        """Take what the order giver tells."""


class Granted:
    """Parts by what each instance is asked for, as the daemon does it."""

    def __init__(self, instances: int, clock: Clock, source: random.Random) -> None:
        self._limiter = UseLimiter(lambda: instances, SLACK_TOKENS, clock, source)
        self.updates = self._limiter.updates
        self.receive = self._limiter.receive

    def admits(self, workspace: Workspace, tokens: int) -> bool:
        """Return whether a request may run, and count it."""
        return isinstance(self._limiter.draw(workspace, tokens), Drawn)


class FixedPart:
    """Each instance keeps the same part of limit and burst; nothing is told."""

    def __init__(self, instances: int, clock: Clock, source: random.Random) -> None:
        self._fraction = 1.0 / instances
        self._clock = clock
        self._levels: dict[str, tuple[float, float]] = {}

    def admits(self, workspace: Workspace, tokens: int) -> bool:
        """Return whether a request may run, and count it."""
        limit, now = workspace.limit, self._clock()
        assert limit is not None
        burst = limit.burst * self._fraction
        level, at = self._levels.get(workspace.name, (burst, now))
        level = min(burst, level + limit.per_second * self._fraction * (now - at))
        let_in = level >= 0
        self._levels[workspace.name] = (level - tokens * let_in, now)
        return let_in

    def updates(self) -> list[DrawnEntry]:
        """Tell nothing."""
        return []

    def receive(self, grants: Iterable[GrantEntry]) -> None:
        """Hear nothing."""


class ToldLevel:
    """Each instance lets in while the level that was told, less its own use since, is there."""

    def __init__(self, instances: int, clock: Clock, source: random.Random) -> None:
        self._clock = clock
        self._used: dict[str, float] = {}
        # What was left, when it was told, and the own use until then.
        self._announced: dict[str, tuple[float, float, float]] = {}

    def admits(self, workspace: Workspace, tokens: int) -> bool:
        """Return whether a request may run, and count it."""
        limit, now = workspace.limit, self._clock()
        assert limit is not None
        used = self._used.get(workspace.name, 0.0)
        left, at, used_then = self._announced.get(workspace.name, (limit.burst, now, used))
        let_in = left + limit.per_second * (now - at) - (used - used_then) >= 0
        self._used[workspace.name] = used + tokens * let_in
        return let_in

    def updates(self) -> list[DrawnEntry]:
        """Tell all that was used."""
        return [DrawnEntry(name, 0.0, used) for name, used in self._used.items()]

    def receive(self, grants: Iterable[GrantEntry]) -> None:
        """Take the level: a grant is the limit and what is left in one second."""
        now = self._clock()
        for grant in grants:
            used = self._used.get(grant.workspace, 0.0)
            self._announced[grant.workspace] = (grant.offered, now, used)
