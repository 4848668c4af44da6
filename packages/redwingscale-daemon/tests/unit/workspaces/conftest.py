"""Fixtures: an instance's limiter on a manual clock."""

import random

import pytest
from redwingscale_daemon._internal.workspaces.use_limiter import Drawn, LimitReached, UseLimiter
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, UseUnit, Workspace

LIMIT = UseLimit(UseUnit.TOKENS, 1000.0, 1000.0, 200.0)
WORKSPACE = Workspace("clerks", 1, LIMIT)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Instance:
    """One of ten instances."""

    def __init__(self, clock):
        self.limiter = UseLimiter(lambda: 10, clock=clock, random_source=random.Random(1))

    def draw(self, tokens, workspace=WORKSPACE):
        """Return 0 for an admitted request, else its retry-after seconds."""
        match self.limiter.draw(workspace, tokens):
            case Drawn():
                return 0
            case LimitReached(retry_after_seconds=seconds):
                return seconds

    def count_admitted(self, tokens, times):
        return sum(self.draw(tokens) == 0 for _ in range(times))


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def instance(clock):
    return Instance(clock)
