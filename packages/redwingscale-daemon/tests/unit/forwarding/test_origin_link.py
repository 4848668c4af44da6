"""Datagrams by which instances tell and ask how streams began."""

import socket
import time

import pytest
from redwingscale_daemon._internal.forwarding.origin_link import ASK_SECONDS, MOST_TOLD, OriginLink
from redwingscale_daemon._internal.forwarding.stream_origins import (
    OriginEntry,
    StreamOrigins,
    origin_key,
)
from redwingscale_standins.hosted.waiting import until

ENTRY = OriginEntry(origin_key("", "first"), "llm", "v1")


def free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Member:
    """An instance's link and what it knows."""

    def __init__(self, members):
        self.address = f"127.0.0.1:{free_port()}"
        self.sent = []
        self.link = OriginLink(
            lambda: self.address,
            lambda: [one.address for one in members],
            lambda: members[0].address,
            lambda kind, datagrams, size: self.sent.append((kind, datagrams)),
        )
        self.origins = StreamOrigins(self.link, lambda: 40.0)
        self.link.connect(self.origins.receive, self.origins.entry)
        self.link.start()


@pytest.fixture
def members():
    made = []
    made.extend(Member(made) for _ in range(3))
    yield made
    for one in made:
        one.link.stop()


def test_begin_of_a_stream_is_told_to_the_other_instances(members):
    members[0].origins.note("", "first", "llm", "v1", tell=True)
    for other in members[1:]:
        until(lambda one=other: one.origins.known("", "first"), "the entry")
    assert members[0].sent == [("told", 2)]


def test_instance_that_was_told_nothing_asks(members):
    members[2].origins.note("", "first", "llm", "v1", tell=False)
    found = members[0].origins.ask("", "first")
    assert (found.software, found.source) == ("v1", "asked")


def test_question_that_nobody_can_answer_ends_soon(members):
    members.append(Member.__new__(Member))
    members[-1].address = f"127.0.0.1:{free_port()}"
    members[-1].link = OriginLink(lambda: "127.0.0.1:0", list, lambda: None)
    began_at = time.monotonic()
    assert members[0].origins.ask("", "first") is None
    assert time.monotonic() - began_at < ASK_SECONDS * 10


def test_bytes_that_are_no_message_are_dropped(members):
    host, _, port = members[1].address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"\xc1 no message", (host, int(port)))
    members[0].origins.note("", "first", "llm", "v1", tell=True)
    until(lambda: members[1].origins.known("", "first"), "the entry after it")


def test_only_some_of_many_instances_are_told_the_leader_among_them():
    sent = []
    link = OriginLink(
        lambda: "127.0.0.1:1",
        lambda: [f"127.0.0.1:{port}" for port in range(2, 62)],
        lambda: "127.0.0.1:9",
    )
    link._send = lambda address, message: sent.append(address) or True
    link.tell(ENTRY)
    assert len(set(sent)) == MOST_TOLD
    assert ("127.0.0.1", 9) in sent


def test_link_whose_port_is_taken_leaves_the_instance_with_its_own_streams():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        link = OriginLink(
            lambda: f"127.0.0.1:{other.getsockname()[1]}", lambda: ["127.0.0.1:1"], lambda: None
        )
        link.start()
        link.tell(ENTRY)
        assert link.ask(ENTRY.key) is None
        link.stop()
