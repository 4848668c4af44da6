"""The stored quarantines at a store that comes back from an older copy."""

import time

import pytest
from redwingscale_daemon._internal.platform.store_client import StoreClient
from redwingscale_daemon._internal.quarantine.row_store import RowQuarantineStore
from redwingscale_daemon._internal.quarantine.store import StoredQuarantine
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_standins.histories.clock import FakeClock
from redwingscale_standins.histories.era_store import Connection, EraStore


class World:
    """A store, and the rows of one instance that writes quarantines there."""

    def __init__(self):
        self.clock = FakeClock()
        self.store = EraStore(self.clock, era=0)
        eras = StoreEras()
        client = StoreClient("127.0.0.1", 1, eras)
        client._pool = Connection(self.store, self.clock, lambda: None, lambda: 0.0)
        self.rows = RowQuarantineStore(client)
        eras.on_rise(lambda before, era: self.rows.write_again())

    def stored(self):
        return {one.fingerprint: one.seconds for one in self.rows.load()}

    def until_stored(self, *fingerprints):
        end = time.monotonic() + 5.0
        while self.stored().keys() != set(fingerprints) and time.monotonic() < end:
            time.sleep(0.01)
        assert self.stored().keys() == set(fingerprints)


@pytest.fixture
def world():
    return World()


def test_quarantine_that_a_copy_lacks_is_written_again(world):
    """Guards against a request that ends workers again through a process that starts."""
    world.rows.save(StoredQuarantine("f1", 300.0, ("w1",)))
    world.until_stored("f1")
    world.clock.advance(1.0)
    world.store.restore(5.0)
    world.until_stored("f1")
    assert world.stored()["f1"] <= 300.0


def test_quarantine_that_was_dropped_is_dropped_again(world):
    """Guards against a sound request that a copy condemns again."""
    world.rows.save(StoredQuarantine("f1", 300.0, ("w1",)))
    world.until_stored("f1")
    world.clock.advance(5.0)
    world.rows.drop("f1")
    world.until_stored()
    world.store.restore(3.0)
    world.until_stored()
