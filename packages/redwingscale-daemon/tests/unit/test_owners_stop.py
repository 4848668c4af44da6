"""An instance that ends gives every engine back for good."""

import pytest
from redwingscale_daemon._internal.placement.owners import Owners


class _Engine:
    id = "engine-a"


class _Recorder:
    """In place of the ownership: remembers what is held."""

    def __init__(self):
        self.held = set()
        self.ended = False

    def release(self, engine):
        self.held.discard(engine)

    def end(self):
        self.ended = True


class _Task:
    def __init__(self, held):
        self._held = held

    def start(self):
        self._held.add(_Engine.id)

    def stop(self):
        pass


@pytest.fixture
def ownership():
    return _Recorder()


@pytest.fixture
def owners(ownership, monkeypatch):
    made = Owners(None, None, None, None, ownership, lambda engine: None)
    monkeypatch.setattr(made, "_assigned_engines", lambda: {_Engine.id})
    monkeypatch.setattr(made, "_start", lambda engine: _Task(ownership.held).start())
    return made


def test_step_after_the_stop_takes_nothing(owners, ownership):
    # A planned stop gives the engines back; the thread that looks for engines has
    # one more turn before it is stopped and takes them again. The process ends as
    # their owner, and nobody may give them orders until its lease has run out.
    owners.stop()
    owners.step()
    assert ownership.ended
    assert ownership.held == set()
