"""The connection to the leader is opened again only when its updates are missing."""

import threading
import time
from types import SimpleNamespace

import pynng
import pytest
from redwingscale_daemon._internal.swaps import leader_client
from redwingscale_daemon._internal.swaps.leader_client import LeaderClient
from redwingscale_daemon._internal.swaps.leader_lease import LeaderRecord

WAIT_SECONDS = 5.0
RECORD = LeaderRecord("leader", "127.0.0.1", 1, 2, "start")


class Link:
    """Both sockets of a connection; ``updates`` are those that wait to be received."""

    def __init__(self, updates):
        self.updates = updates

    def recv(self):
        if self.updates:
            return self.updates.pop(0)
        time.sleep(leader_client._RECEIVE_TIMEOUT_MS / 1000)
        raise pynng.Timeout("no update", 5)

    def send(self, data, block):
        pass

    def close(self):
        pass


class Updates:
    """Stands for the decoder; each update takes its number of seconds to apply."""

    sent_at, leader = 0.0, "leader"

    def __init__(self, seconds=0.0):
        self.seconds = seconds

    def decode(self, seconds):
        return Updates(seconds)

    def delayed(self, _seconds):
        return self


@pytest.fixture
def follow(monkeypatch):
    """Return a function that follows a leader; it returns the links and the updates applied."""
    clients = []

    def start(*updates):
        dialed, applied = [], []

        def dial(record):
            link = Link(list(updates) if not dialed else [])
            dialed.append(link)
            return leader_client._Sockets(link, link)

        def apply(update):
            time.sleep(update.seconds)
            applied.append(update)

        monkeypatch.setattr(leader_client, "_dial", dial)
        lease = SimpleNamespace(record=RECORD, is_leader=False)
        client = LeaderClient(lease, "one", lambda first: {}, apply, lambda update: None)
        client._decoder = Updates()
        clients.append(client)
        threading.Thread(target=client._receive, daemon=True).start()
        return dialed, applied

    yield start
    for client in clients:
        client._stopped = True


def wait_until(check):
    until = time.monotonic() + WAIT_SECONDS
    while not check():
        assert time.monotonic() < until
        time.sleep(0.01)


def test_updates_that_wait_while_one_is_applied_are_no_silence(follow):
    """Guards against a link that is dropped, with what waits in it, since this process was slow."""
    dialed, applied = follow(leader_client.SILENT_SECONDS + 0.2, 0.0, 0.0)
    wait_until(lambda: len(applied) == 3)
    assert len(dialed) == 1


def test_silent_link_is_opened_again(follow):
    """Guards against a connection that has gone silent without a reset."""
    dialed, _ = follow(0.0)
    began = time.monotonic()
    wait_until(lambda: len(dialed) == 2)
    assert time.monotonic() - began > leader_client.SILENT_SECONDS - 0.1
