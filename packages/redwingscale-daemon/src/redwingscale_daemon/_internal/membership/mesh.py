"""The links of this instance: which peers it dials, and what they tell it."""

import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.frame import Frame, FrameRejected
from redwingscale_daemon._internal.membership.link import Link, Sender
from redwingscale_daemon._internal.membership.message import (
    Buckets,
    Direct,
    Entries,
    Hello,
    Message,
    Root,
    Versions,
)
from redwingscale_daemon._internal.membership.neighbourhood import build_neighbourhood
from redwingscale_daemon._internal.membership.summary import (
    buckets_of,
    missing_from,
    root_of,
    versions_of,
)
from redwingscale_daemon._internal.models.member import InstanceMember, Member

DEAD_HEARTBEATS = 10
LINKS_BACK = 16
LINK_BACK_CYCLES = 3
RETENTION_SECONDS = 300.0

# Takes the peer that sent a `Direct` message, and its payload.
OnDirect = Callable[[str, bytes], None]


class LinkBack(NamedTuple):
    """A peer that this instance links to because of its `Hello`; it lapses unless told again."""

    url: str
    inside: bool
    until: float


class Mesh:
    """Keeps mutual links of bounded degree and serves what comes over them."""

    def __init__(self, sender: Sender, seeds: Sequence[str], own_url: Callable[[], str]) -> None:
        self._sender = sender
        self._seeds = seeds
        self._own_url = own_url
        self._lock = threading.RLock()
        self._neighbourhood = build_neighbourhood(sender.instance, sender.failure_domain, ())
        self._listed_urls: dict[str, str] = {}
        self._told_urls: dict[str, str] = {}
        self._links_back: dict[str, LinkBack] = {}
        self._links_by_peer: dict[str, Link] = {}
        self._direct: dict[str, OnDirect] = {}
        self._ending: list[threading.Thread] = []
        self._stopped = False
        sender.gossip.on_forward(self._offer)

    def update(self, members: dict[str, Member]) -> None:
        """Take a new list of members."""
        peers = {
            m.id: m
            for m in members.values()
            if isinstance(m, InstanceMember) and m.id != self._sender.instance
        }
        with self._lock:
            for peer, member in peers.items():
                # The list lags: what a peer tells of itself holds until the list changes.
                if self._listed_urls.get(peer) != member.peers_url:
                    self._told_urls.pop(peer, None)
            self._listed_urls = {peer: member.peers_url for peer, member in peers.items()}
            self._neighbourhood = build_neighbourhood(
                self._sender.instance, self._sender.failure_domain, peers.values()
            )
        self.step()

    def step(self) -> None:
        """Bring the links in line with what is known now."""
        with self._lock:
            self._link_to(self._wanted())
        listed = set(self._listed_urls)
        if listed:
            self._sender.gossip.forget_origins(listed, RETENTION_SECONDS)
            self._sender.heartbeats.forget_silent(listed, RETENTION_SECONDS)

    def take(self, frame: Frame) -> None:
        """Take a frame of a peer; raise `FrameRejected` for a replayed one."""
        sender = self._sender
        inside = frame.failure_domain == sender.failure_domain
        if frame.sender == sender.instance:
            raise FrameRejected("the sender bears this instance's own id")
        if not sender.heartbeats.receive(frame.sender, frame.heartbeat, inside=inside):
            raise FrameRejected(f"replayed frame of {frame.sender}")
        sender.clock.raise_above(frame.acknowledged)
        link = self._links_by_peer.get(frame.sender)
        if link is not None:
            link.acknowledge(frame.acknowledged)
        if inside:
            self._receive_relayed(frame.relayed_heartbeats, link)
        for message in frame.messages:
            self._take_message(frame, message)

    def on_direct(self, topic: str, handler: OnDirect) -> None:
        """Call ``handler`` with each direct message of ``topic``."""
        self._direct[topic] = handler

    def send_direct(self, peer: str, topic: str, payload: bytes) -> bool:
        """Send ``payload`` to a linked ``peer``; return False when there is no link."""
        link = self._links_by_peer.get(peer)
        if link is not None:
            link.send(Direct(topic, payload))
        return link is not None

    def linked(self) -> list[str]:
        """Return the peers that this instance has a link to."""
        return sorted(self._links_by_peer)

    def stop(self) -> None:
        """End all links and wait for their threads.

        A thread that still sends while the process ends makes nng abort it, so
        that a graceful stop would look like a crash.
        """
        with self._lock:
            self._stopped = True
            self._link_to({})
            ending = list(self._ending)
        for thread in ending:
            thread.join()

    def _receive_relayed(self, heartbeats: list[tuple[int, int]], link: Link | None) -> None:
        self._sender.heartbeats.relay(heartbeats)
        if link is not None:
            link.note_relayed(heartbeats)

    def _take_message(self, frame: Frame, message: Message) -> None:
        peer = frame.sender
        known = self._sender.gossip.stored_entries
        match message:
            case Hello():
                self._take_hello(frame, message)
            case Entries(entries=entries):
                self._take_entries(peer, entries)
            case Root(settled=settled, root=root):
                if root_of(known(), settled).root != root:
                    self._answer(peer, buckets_of(known(), settled))
            case Buckets():
                self._take_buckets(peer, message)
            case Versions():
                self._answer(peer, Entries(missing_from(known(), message)))
            case Direct(topic=topic, payload=payload):
                self._take_direct(peer, topic, payload)

    def _take_direct(self, peer: str, topic: str, payload: bytes) -> None:
        handler = self._direct.get(topic)
        if handler is None:
            log_event("direct_topic_unknown", level="WARNING", peer=peer, topic=topic)
            return
        handler(peer, payload)

    def _take_entries(self, peer: str, entries: list[Entry]) -> None:
        for entry in entries:
            self._sender.gossip.accept(entry, peer)
        # What the board has just offered to this link as well waits there a moment.
        link = self._links_by_peer.get(peer)
        if link is not None:
            link.received(entries)

    def _take_buckets(self, peer: str, theirs: Buckets) -> None:
        versions = versions_of(self._sender.gossip.stored_entries(), theirs)
        if versions is not None:
            self._answer(peer, versions)

    def _take_hello(self, frame: Frame, hello: Hello) -> None:
        peer = frame.sender
        with self._lock:
            if hello.url and hello.url != self._listed_urls.get(peer):
                self._told_urls[peer] = hello.url
            if hello.chosen or self._knows_no_list():
                self._link_back(frame, hello)
            else:
                self._links_back.pop(frame.sender, None)
            self._link_to(self._wanted())

    def _link_back(self, frame: Frame, hello: Hello) -> None:
        url = hello.url or self._listed_urls.get(frame.sender, "")
        known = frame.sender in self._links_back
        if not url or (not known and len(self._links_back) >= LINKS_BACK):
            return
        inside = frame.failure_domain == self._sender.failure_domain
        until = time.monotonic() + LINK_BACK_CYCLES * self._sender.timing.full_cycle
        self._links_back[frame.sender] = LinkBack(url, inside, until)

    def _answer(self, peer: str, message: Message) -> None:
        link = self._links_by_peer.get(peer)
        if link is not None:
            link.send(message)

    def _wanted(self) -> dict[str, tuple[str, bool, bool]]:
        """Return url, inside and chosen of each link by peer."""
        now = time.monotonic()
        self._links_back = {p: b for p, b in self._links_back.items() if b.until > now}
        wanted = {
            peer: (self._url(peer, back.url), back.inside, self._knows_no_list())
            for peer, back in self._links_back.items()
        }
        neighbourhood = self._neighbourhood
        wanted |= {
            peer: (self._url(peer, self._listed_urls[peer]), neighbourhood.is_inside(peer), True)
            for peer in neighbourhood.choose(self._is_dead)
        }
        return wanted | self._wanted_seeds({url for url, _, _ in wanted.values()})

    def _wanted_seeds(self, linked_urls: set[str]) -> dict[str, tuple[str, bool, bool]]:
        """Return links to the seeds, for as long as no list has been read.

        An instance restarted while the platform cannot be reached knows nobody
        else. A seed answers with its id and is then linked by that.
        """
        if not self._knows_no_list():
            return {}
        return {url: (url, True, True) for url in self._seeds if url not in linked_urls}

    def _knows_no_list(self) -> bool:
        return not self._listed_urls

    def _url(self, peer: str, known: str) -> str:
        return self._told_urls.get(peer, known)

    def _is_dead(self, peer: str) -> bool:
        silent = self._sender.heartbeats.silent_seconds(peer)
        limit = DEAD_HEARTBEATS * self._sender.timing.heartbeat
        # Heartbeats across failure domains come only over links, so silence tells nothing there.
        return limit < silent < float("inf") and self._neighbourhood.is_inside(peer)

    def _link_to(self, wanted: dict[str, tuple[str, bool, bool]]) -> None:
        wanted = {} if self._stopped else wanted
        for peer, link in list(self._links_by_peer.items()):
            if peer not in wanted or wanted[peer][0] != link.url:
                del self._links_by_peer[peer]
                self._end(link)
        for peer, (url, inside, chosen) in wanted.items():
            link = self._links_by_peer.get(peer) or self._add(peer, url, inside, chosen)
            link.choose(chosen)

    def _end(self, link: Link) -> None:
        """Stop ``link`` aside: its thread may be waiting in a send."""
        thread = threading.Thread(target=link.stop, name="link-stop", daemon=True)
        self._ending = [t for t in self._ending if t.is_alive()] + [thread]
        thread.start()

    def _add(self, peer: str, url: str, inside: bool, chosen: bool) -> Link:
        log_event("link_added", peer=peer, url=url)
        link = Link(self._sender, peer, url, self._own_url(), inside=inside, chosen=chosen)
        self._links_by_peer[peer] = link
        link.start()
        return link

    def _offer(self, entry: Entry) -> None:
        for link in list(self._links_by_peer.values()):
            link.offer(entry)
