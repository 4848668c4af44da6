"""The end of a link whose thread still sends."""

import threading
from functools import partialmethod

import pytest
from redwingscale_daemon._internal.membership import link as link_module
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.heartbeat_clock import HeartbeatClock
from redwingscale_daemon._internal.membership.link import Link, LinkTiming, Sender
from redwingscale_daemon._internal.membership.message import Hello
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats
from redwingscale_daemon._internal.membership.traffic import Traffic
from redwingscale_daemon._internal.utils.periodic import Periodic

WAIT_SECONDS = 5.0
# How long the test lets a stop run that must not go on.
SETTLE_SECONDS = 0.3


class HeldSocket:
    """Records its calls; each send waits until ``go_on`` is set."""

    def __init__(self, calls, sending, go_on):
        self._calls, self._sending, self._go_on = calls, sending, go_on

    def dial(self, url, *, block):
        self._calls.append("dial")

    def send(self, data):
        self._calls.append("send")
        self._sending.set()
        assert self._go_on.wait(WAIT_SECONDS)
        self._calls.append("sent")

    def close(self):
        self._calls.append("close")


@pytest.fixture
def held(monkeypatch):
    """A link whose first send does not return, and the calls of its sockets."""
    calls, sending, go_on = [], threading.Event(), threading.Event()
    monkeypatch.setattr(
        link_module.pynng, "Push0", lambda **options: HeldSocket(calls, sending, go_on)
    )
    # A step that takes longer than the stop of its thread waits.
    monkeypatch.setattr(Periodic, "stop", partialmethod(Periodic.stop, timeout_seconds=0.1))
    sender = Sender(
        "one", "a", b"k" * 32, GossipState("one"), PeerHeartbeats(), HeartbeatClock(), Traffic(),
        LinkTiming(60.0, 60.0),
    )  # fmt: skip
    made = Link(sender, "two", "tcp://two", "tcp://one", same_domain=True, chosen=True)
    made.start()
    assert sending.wait(WAIT_SECONDS)
    yield made, calls, go_on
    go_on.set()


def test_socket_is_closed_after_the_send_that_runs(held):
    """Guards against a send on a closed socket."""
    link, calls, go_on = held
    stop = threading.Thread(target=link.stop)
    stop.start()
    stop.join(SETTLE_SECONDS)
    assert calls == ["dial", "send"]
    go_on.set()
    stop.join(WAIT_SECONDS)
    # The second send tells the peer that the link ends.
    assert calls == ["dial", "send", "sent", "send", "sent", "close"]


def test_step_that_outlasts_the_stop_sends_no_more(held):
    """Guards against a socket that is opened after the link has ended, and never closed."""
    link, calls, go_on = held
    stop = threading.Thread(target=link.stop)
    stop.start()
    stop.join(SETTLE_SECONDS)
    go_on.set()
    stop.join(WAIT_SECONDS)
    ended = list(calls)
    link.send(Hello("tcp://one", True))
    link._step()
    assert calls == ended
    assert calls.count("dial") == calls.count("close") == 1
