"""Exchanges entries directly between instances, without the leader or the store."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.entry import Entry, EntryPage
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.swaps.outbox import Outbox, first_entries
from redwingscale_daemon._internal.utils.periodic import Periodic

# An entry of another instance is passed on to so many peers, in case its origin does not
# know or reach all of them.
FANOUT = 4
STEP_SECONDS = 0.25
# What a peer has acknowledged is kept for this long after it was known last.
FORGET_SECONDS = 120.0
# Entries are dropped after this time; no quarantine lasts longer.
KEPT_SECONDS = 7200.0
EXPIRE_SECONDS = 60.0
# How many peers an instance that has started asks for all entries.
INITIAL_PEERS = 3
THREADS = 8

# Sends entries to an address and asks for its own, unless the number of those to skip is None.
# Returns what was received, None if the peer did not answer.
Send = Callable[[str, list[Entry], int | None], EntryPage | None]


class EntryExchange:
    """Sends what this instance publishes to every known peer until the peer has answered.

    What it receives it passes on to some of them. An instance that joins asks some of the peers
    that it learns of first for all entries. Others that learn of it send only their own: each of
    them would send the same.
    """

    def __init__(self, gossip: GossipState, peers: Callable[[], Sequence[str]], send: Send) -> None:
        self._gossip = gossip
        self._peers = peers
        self._send = send
        self._lock = threading.Lock()
        self._outboxes: dict[str, Outbox] = {}
        # When each peer with an outbox was known last.
        self._known_at: dict[str, float] = {}
        self._asked = 0
        self._expired_at = time.monotonic()
        # Where entries that this thread receives are passed on to.
        self._batch = threading.local()
        # Not for secrets: it only spreads the messages.
        self._random = random.Random()
        self._pool = ThreadPoolExecutor(THREADS, thread_name_prefix="entry-exchange")
        self._periodic = Periodic("entry-exchange", STEP_SECONDS, self.step)
        gossip.on_forward(self._forward)

    def start(self) -> None:
        """Start the thread that sends."""
        self._periodic.start()

    def stop(self) -> None:
        """Stop the thread; messages under way are not waited for."""
        self._periodic.stop(1.0)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def note_peers(self) -> None:
        """Note that the known peers have changed."""
        self._periodic.wake()

    def receive(self, entries: Iterable[Entry], sender: str = "") -> None:
        """Take what a peer has sent, whose address is ``sender`` if known, and pass it on."""
        with self._lock:
            addresses = list(self._follow_peers())
            if (outbox := self._outboxes.get(sender)) is not None:
                outbox.note_heard()
        # The same peers for the whole batch, so that they get one message.
        self._take(entries, self._random.sample(addresses, min(FANOUT, len(addresses))))

    def _take(self, entries: Iterable[Entry], pass_on_to: list[str]) -> None:
        self._batch.addresses = pass_on_to
        for entry in entries:
            self._gossip.accept(entry, entry.origin)

    def page(self, skip: int) -> EntryPage:
        """Return a message of all entries but the first ``skip``, which a peer asks for."""
        entries = self._gossip.entries()[skip:]
        chosen = first_entries(entries)
        return EntryPage(chosen, len(entries) - len(chosen))

    def _forward(self, entry: Entry) -> None:
        with self._lock:
            if self._gossip.is_own(entry):
                # Also one that is published as another one is received.
                self._follow_peers()
                outboxes = list(self._outboxes.values())
            else:
                found = map(self._outboxes.get, getattr(self._batch, "addresses", ()))
                outboxes = [outbox for outbox in found if outbox is not None]
            for outbox in outboxes:
                outbox.add([entry])
        self._periodic.wake()

    def _follow_peers(self) -> set[str]:
        """Return the addresses of the known peers, each of which has an outbox."""
        known, now = set(self._peers()), time.monotonic()
        self._known_at |= dict.fromkeys(known, now)
        if len(self._known_at) > len(known):
            for address, at in list(self._known_at.items()):
                if now - at > FORGET_SECONDS:
                    del self._known_at[address]
                    self._outboxes.pop(address, None)
        new = known - self._outboxes.keys()
        entries = self._gossip.own_entries() if new else []
        for address in sorted(new):
            outbox = self._outboxes[address] = Outbox()
            outbox.add(entries)
            if self._asked < INITIAL_PEERS:
                self._asked += 1
                outbox.asks_from = 0
        return known

    def step(self) -> None:
        """Send what is due."""
        now = time.monotonic()
        if now - self._expired_at >= EXPIRE_SECONDS:
            self._expired_at = now
            self._gossip.expire(KEPT_SECONDS)
        with self._lock:
            known = self._follow_peers()
            for outbox in self._outboxes.values():
                outbox.drop_old()
            due = [address for address in known if self._outboxes[address].due]
            for address in due:
                self._outboxes[address].sending = True
        for address in due:
            self._pool.submit(self._send_to, address)

    def _send_to(self, address: str) -> None:
        with self._lock:
            outbox = self._outboxes.get(address)
            if outbox is None:
                return
            entries, skip = outbox.message(), outbox.asks_from
        page: EntryPage | None = None
        began_at = time.monotonic()
        try:
            page = self._send(address, entries, skip)
        except Exception as error:
            # The thread serves other peers as well.
            log_event("entries_not_sent", level="WARNING", peer=address, error=repr(error))
        finally:
            with self._lock:
                outbox.sending = False
                if page is None:
                    outbox.note_unanswered()
                else:
                    outbox.note_answered(entries)
                    if skip is not None:
                        outbox.asks_from = skip + len(page.entries) if page.left else None
        if page is None:
            log_event(
                "entries_not_acknowledged",
                peer=address,
                entries=len(entries),
                bytes=sum(len(entry.payload) for entry in entries),
                seconds=round(time.monotonic() - began_at, 3),
                topics=_counts_by_topic(entries),
            )
        elif skip is not None:
            log_event("entries_received", peer=address, entries=len(page.entries), left=page.left)
            # Not passed on: the others have them.
            self._take(page.entries, [])
        self._periodic.wake()


def _counts_by_topic(entries: Iterable[Entry]) -> str:
    counts = Counter(entry.topic for entry in entries)
    return ",".join(f"{topic}:{count}" for topic, count in counts.most_common())
