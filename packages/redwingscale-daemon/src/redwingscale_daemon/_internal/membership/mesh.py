"""The links of this instance: which peers it dials, and the frames received from them."""

import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.anti_entropy import (
    find_missing,
    make_buckets,
    make_root,
    make_versions,
)
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
from redwingscale_daemon._internal.models.member import InstanceMember, Member

# A peer that is silent for as many heartbeat intervals is considered dead.
DEAD_AFTER_HEARTBEATS = 10
MAX_LINKS_BACK = 16
LINK_BACK_CYCLES = 3
RETENTION_SECONDS = 300.0

# Called with the sender of a `Direct` message and its payload.
DirectHandler = Callable[[str, bytes], None]


class LinkBack(NamedTuple):
    """A link back to a peer that sent a `Hello`; it ends at ``until`` without another one."""

    url: str
    same_domain: bool
    until: float


class Mesh:
    """Maintains mutual links of bounded degree and handles the frames of the peers."""

    def __init__(self, sender: Sender, seeds: Sequence[str], own_url: Callable[[], str]) -> None:
        self._sender = sender
        self._seeds = seeds
        self._own_url = own_url
        self._lock = threading.RLock()
        self._neighbourhood = build_neighbourhood(sender.instance, sender.failure_domain, ())
        self._listed_urls: dict[str, str] = {}
        self._announced_urls: dict[str, str] = {}
        self._links_back: dict[str, LinkBack] = {}
        self._links_by_peer: dict[str, Link] = {}
        self._direct_handlers: dict[str, DirectHandler] = {}
        self._stopping_threads: list[threading.Thread] = []
        self._stopped = False
        sender.gossip.on_forward(self._offer_to_links)

    def update(self, members: dict[str, Member]) -> None:
        """Link according to a new list of members."""
        peers = {
            m.id: m
            for m in members.values()
            if isinstance(m, InstanceMember) and m.id != self._sender.instance
        }
        with self._lock:
            for peer, member in peers.items():
                # The list lags: the URL that a peer announces applies until the list changes.
                if self._listed_urls.get(peer) != member.peers_url:
                    self._announced_urls.pop(peer, None)
            self._listed_urls = {peer: member.peers_url for peer, member in peers.items()}
            self._neighbourhood = build_neighbourhood(
                self._sender.instance, self._sender.failure_domain, peers.values()
            )
        self.step()

    def step(self) -> None:
        """Add and end links as needed; forget peers that left the list long ago."""
        with self._lock:
            self._apply_links(self._wanted_links())
        listed = set(self._listed_urls)
        if listed:
            self._sender.gossip.forget_origins(listed, RETENTION_SECONDS)
            self._sender.heartbeats.forget_silent(listed, RETENTION_SECONDS)

    def receive(self, frame: Frame) -> None:
        """Handle a frame of a peer.

        Raises `FrameRejected` if it is replayed or has the id of this instance.
        """
        sender = self._sender
        same_domain = frame.failure_domain == sender.failure_domain
        if frame.sender == sender.instance:
            raise FrameRejected("the sender uses the id of this instance")
        if not sender.heartbeats.receive(frame.sender, frame.heartbeat, same_domain=same_domain):
            raise FrameRejected(f"replayed frame of {frame.sender}")
        sender.clock.raise_above(frame.acknowledged)
        link = self._links_by_peer.get(frame.sender)
        if link is not None:
            link.acknowledge(frame.acknowledged)
        if same_domain:
            self._receive_relayed(frame.relayed_heartbeats, link)
        for message in frame.messages:
            self._receive_message(frame, message)

    def on_direct(self, topic: str, handler: DirectHandler) -> None:
        """Call ``handler`` with each direct message of ``topic``."""
        self._direct_handlers[topic] = handler

    def send_direct(self, peer: str, topic: str, payload: bytes) -> bool:
        """Send ``payload`` to ``peer``; return False if there is no link to it."""
        link = self._links_by_peer.get(peer)
        if link is not None:
            link.send(Direct(topic, payload))
        return link is not None

    def linked_peers(self) -> list[str]:
        """Return the peers that this instance has a link to."""
        return sorted(self._links_by_peer)

    def stop(self) -> None:
        """End all links and wait for their threads.

        nng aborts a process that ends while a thread still sends, and a graceful
        stop would look like a crash.
        """
        with self._lock:
            self._stopped = True
            self._apply_links({})
            stopping = list(self._stopping_threads)
        for thread in stopping:
            thread.join()

    def _receive_relayed(self, heartbeats: list[tuple[int, int]], link: Link | None) -> None:
        self._sender.heartbeats.relay(heartbeats)
        if link is not None:
            link.note_relayed(heartbeats)

    def _receive_message(self, frame: Frame, message: Message) -> None:
        peer = frame.sender
        stored = self._sender.gossip.stored_entries
        match message:
            case Hello():
                self._receive_hello(frame, message)
            case Entries(entries=entries):
                self._receive_entries(peer, entries)
            case Root(settled_seconds=settled_seconds, root=root):
                if make_root(stored(), settled_seconds).root != root:
                    self._reply(peer, make_buckets(stored(), settled_seconds))
            case Buckets():
                self._receive_buckets(peer, message)
            case Versions():
                self._reply(peer, Entries(find_missing(stored(), message)))
            case Direct(topic=topic, payload=payload):
                self._receive_direct(peer, topic, payload)

    def _receive_direct(self, peer: str, topic: str, payload: bytes) -> None:
        handler = self._direct_handlers.get(topic)
        if handler is None:
            log_event("direct_topic_unknown", level="WARNING", peer=peer, topic=topic)
            return
        handler(peer, payload)

    def _receive_entries(self, peer: str, entries: list[Entry]) -> None:
        for entry in entries:
            self._sender.gossip.accept(entry, peer)
        # The gossip state has offered these entries to this link too, where they are pending.
        link = self._links_by_peer.get(peer)
        if link is not None:
            link.drop_pending(entries)

    def _receive_buckets(self, peer: str, theirs: Buckets) -> None:
        versions = make_versions(self._sender.gossip.stored_entries(), theirs)
        if versions is not None:
            self._reply(peer, versions)

    def _receive_hello(self, frame: Frame, hello: Hello) -> None:
        peer = frame.sender
        with self._lock:
            if hello.url and hello.url != self._listed_urls.get(peer):
                self._announced_urls[peer] = hello.url
            if hello.chosen or self._has_no_list():
                self._link_back(frame, hello)
            else:
                self._links_back.pop(frame.sender, None)
            self._apply_links(self._wanted_links())

    def _link_back(self, frame: Frame, hello: Hello) -> None:
        url = hello.url or self._listed_urls.get(frame.sender, "")
        known = frame.sender in self._links_back
        if not url or (not known and len(self._links_back) >= MAX_LINKS_BACK):
            return
        same_domain = frame.failure_domain == self._sender.failure_domain
        until = time.monotonic() + LINK_BACK_CYCLES * self._sender.timing.full_cycle
        self._links_back[frame.sender] = LinkBack(url, same_domain, until)

    def _reply(self, peer: str, message: Message) -> None:
        link = self._links_by_peer.get(peer)
        if link is not None:
            link.send(message)

    def _wanted_links(self) -> dict[str, tuple[str, bool, bool]]:
        """Return URL, same_domain and chosen of each link by peer."""
        now = time.monotonic()
        self._links_back = {p: b for p, b in self._links_back.items() if b.until > now}
        wanted = {
            peer: (self._url(peer, back.url), back.same_domain, self._has_no_list())
            for peer, back in self._links_back.items()
        }
        neighbourhood = self._neighbourhood
        wanted |= {
            peer: (
                self._url(peer, self._listed_urls[peer]),
                neighbourhood.is_same_domain(peer),
                True,
            )
            for peer in neighbourhood.choose(self._is_dead)
        }
        return wanted | self._wanted_seed_links({url for url, _, _ in wanted.values()})

    def _wanted_seed_links(self, linked_urls: set[str]) -> dict[str, tuple[str, bool, bool]]:
        """Return links to the seeds as long as no list has been read.

        An instance restarted while the platform is unreachable has no other peers.
        A seed replies with its id and is then linked under that id.
        """
        if not self._has_no_list():
            return {}
        return {url: (url, True, True) for url in self._seeds if url not in linked_urls}

    def _has_no_list(self) -> bool:
        return not self._listed_urls

    def _url(self, peer: str, known: str) -> str:
        return self._announced_urls.get(peer, known)

    def _is_dead(self, peer: str) -> bool:
        silent = self._sender.heartbeats.silent_seconds(peer)
        limit = DEAD_AFTER_HEARTBEATS * self._sender.timing.heartbeat
        # Heartbeats of other failure domains arrive over links only, so the silence of an
        # unlinked peer there means nothing.
        return limit < silent < float("inf") and self._neighbourhood.is_same_domain(peer)

    def _apply_links(self, wanted: dict[str, tuple[str, bool, bool]]) -> None:
        wanted = {} if self._stopped else wanted
        for peer, link in list(self._links_by_peer.items()):
            if peer not in wanted or wanted[peer][0] != link.url:
                del self._links_by_peer[peer]
                self._stop_link(link)
        for peer, (url, same_domain, chosen) in wanted.items():
            link = self._links_by_peer.get(peer) or self._add_link(peer, url, same_domain, chosen)
            link.set_chosen(chosen)

    def _stop_link(self, link: Link) -> None:
        """Stop ``link`` in a separate thread: its own thread may be blocked in a send."""
        thread = threading.Thread(target=link.stop, name="link-stop", daemon=True)
        self._stopping_threads = [t for t in self._stopping_threads if t.is_alive()] + [thread]
        thread.start()

    def _add_link(self, peer: str, url: str, same_domain: bool, chosen: bool) -> Link:
        log_event("link_added", peer=peer, url=url)
        link = Link(
            self._sender, peer, url, self._own_url(), same_domain=same_domain, chosen=chosen
        )
        self._links_by_peer[peer] = link
        link.start()
        return link

    def _offer_to_links(self, entry: Entry) -> None:
        for link in list(self._links_by_peer.values()):
            link.offer(entry)
