"""An instance that stops releases all its engines permanently."""

import pytest
from redwingscale_daemon._internal.placement.owners import Owners


class _Engine:
    id = "engine-a"


class _Recorder:
    """Replaces the ownership, and records the engines that are owned."""

    def __init__(self):
        self.owned = set()
        self.ended = False

    def release(self, engine):
        self.owned.discard(engine)

    def end(self):
        self.ended = True


class _Task:
    def __init__(self, owned):
        self._owned = owned

    def start(self):
        self._owned.add(_Engine.id)

    def stop(self):
        pass


@pytest.fixture
def ownership():
    return _Recorder()


@pytest.fixture
def owners(ownership, monkeypatch):
    made = Owners(None, None, None, None, ownership, lambda engine: None)
    monkeypatch.setattr(made, "_assigned_engines", lambda: {_Engine.id})
    monkeypatch.setattr(made, "_start", lambda engine: _Task(ownership.owned).start())
    return made


def test_step_after_the_stop_acquires_nothing(owners, ownership):
    # A planned stop releases the engines. If the thread that calls `step` ran once more
    # and acquired them again, the process would end as their owner, and no other instance
    # could send them orders until its lease expired.
    owners.stop()
    owners.step()
    assert ownership.ended
    assert ownership.owned == set()
