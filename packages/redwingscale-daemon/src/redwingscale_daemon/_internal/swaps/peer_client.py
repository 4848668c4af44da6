"""Queries other instances while neither the store nor the leader gives current data."""

import random
import time
import zlib
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed

import msgspec
import pynng
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.path_messages import PathQuery, PathReply
from redwingscale_daemon._internal.fleet.rate_limit_messages import RateLimitEntry
from redwingscale_daemon._internal.membership.entry import Entry, EntryPage
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import RouteTable
from redwingscale_daemon._internal.routes.table_difference import apply_difference
from redwingscale_daemon._internal.routes.table_record import decode_table
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.swaps.lease_record import LeaderRecord
from redwingscale_daemon._internal.swaps.peer_server import PeerRequest, PeerResponse
from redwingscale_daemon._internal.utils.documents import decode_message

MAX_PEERS = 32
# An instance that the leader has not announced for this long may be gone. The leader announces
# eight of all instances at a time, each two seconds or sooner.
ANNOUNCED_SECONDS = 120.0
# A peer may be rejected by the store as well; another one is queried then.
MAX_QUERIES_PER_STEP = 4
RESPONSE_TIMEOUT_MS = 400
# Pause before the next query for a configuration that a peer may not send: some of those
# that it names receive theirs only now.
HOLDER_QUERY_SECONDS = (0.02, 0.06)
# Above all versions: a peer does not send its configuration to a requester that has this one.
NO_TABLE_ABOVE = 1 << 62
MAX_TABLE_BYTES = 32 << 20


class PeerClient:
    """Remembers the peers that the leader announces, and queries some of them in turn."""

    def __init__(
        self,
        routes: CurrentRoutes,
        needed: Callable[[], bool],
        learn_leader: Callable[[StoreVersion, LeaderRecord], None],
        own_address: Callable[[], str],
        on_new_peers: Callable[[], None] = lambda: None,
    ) -> None:
        self._routes = routes
        self._needed = needed
        self._learn_leader = learn_leader
        self._own_address = own_address
        self._on_new_peers = on_new_peers
        # When each address was last announced.
        self._announced_at: dict[str, float] = {}
        # The addresses announced last, and those of the peers to exchange entries with.
        self._newest: list[str] = []
        self._partners: list[str] = []
        # Whether `fetch` is under way: what other queries receive meanwhile would come twice.
        self._fetching = False
        # Not for secrets: it only spreads the queries.
        self._random = random.Random()
        self._pool = ThreadPoolExecutor(MAX_QUERIES_PER_STEP, thread_name_prefix="peer-query")

    def remember(self, peers: Iterable[str]) -> None:
        """Remember ``peers`` for `ANNOUNCED_SECONDS`."""
        announced = dict.fromkeys(peers, time.monotonic())
        if not announced:
            return
        oldest, own = time.monotonic() - ANNOUNCED_SECONDS, self._own_address()
        announced_at = self._announced_at = {
            address: at
            for address, at in (self._announced_at | announced).items()
            if at > oldest and address != own
        }
        newest = sorted(announced_at, key=announced_at.__getitem__, reverse=True)
        partners = sorted(announced_at, key=lambda one: zlib.crc32(f"{own}/{one}".encode()))
        before = set(self._partners)
        self._newest, self._partners = newest[:MAX_PEERS], partners[:MAX_PEERS]
        if not before >= set(self._partners):
            self._on_new_peers()

    def addresses(self) -> list[str]:
        """Return the addresses announced last: these instances are alive."""
        return list(self._newest)

    def partners(self) -> list[str]:
        """Return the addresses of the peers to exchange entries with.

        They change only as instances come and go, and differ between instances. All hear the
        same announcements: with those announced last, each would be told everything anew each
        time, and whoever is not among them would hear of nothing.
        """
        return list(self._partners)

    def push(self, address: str, rates: list[RateLimitEntry]) -> None:
        """Send changed rate limits to a peer, and apply its response."""
        response = self._query(address, rates)
        if response is not None:
            self._apply(address, response)

    def exchange(self, address: str, entries: list[Entry], skip: int | None) -> EntryPage | None:
        """Send entries to a peer; return its own but for the first ``skip``, none if that is None.

        Returns None if the peer did not answer.
        """
        response = self._query(address, entries=entries, skip=skip, takes_table=False)
        return None if response is None else EntryPage(response.entries, response.entries_left)

    def ask_path(self, address: str, query: PathQuery) -> PathReply | None:
        """Ask a peer which upstreams it reaches; None if it does not answer that."""
        response = self._query(address, path=query, takes_table=False)
        return None if response is None else response.path

    def step(self) -> None:
        """Query some peers at once, if needed, and use what each of them answers."""
        if self._fetching or not self._needed():
            return
        addresses = self.addresses()
        chosen = self._random.sample(addresses, min(MAX_QUERIES_PER_STEP, len(addresses)))
        queries = {self._pool.submit(self._query, address): address for address in chosen}
        for query in as_completed(queries):
            response = query.result()
            if response is not None:
                self._apply(queries[query], response)

    def confirm(self, address: str, seconds: float) -> bool:
        """Query a peer, and take its configuration within ``seconds`` if it is newer.

        Returns whether the configuration here is that of the peer or a later one.
        """
        response = self._query(address)
        if response is None:
            return False
        self._apply(address, response)
        known = self._has(response.configuration)
        return known or self.fetch(address, response.configuration, seconds)

    def fetch(self, address: str, version: int, seconds: float) -> bool:
        """Query a peer; return whether the configuration here has ``version`` or a later one.

        A peer that may not send it names others that have it; these are queried for up to
        ``seconds``, and the peer again.
        """
        begun_at = time.monotonic()
        sources, queries = [address], 0
        self._fetching = True
        try:
            while not self._has(version):
                if queries and time.monotonic() - begun_at > seconds:
                    break
                queries += 1
                peer = self._random.choice(sources)
                response = self._query(peer)
                if response is None:
                    break
                self._apply(peer, response)
                if response.holders:
                    sources = [address, *response.holders]
                if not self._has(version):
                    time.sleep(self._random.uniform(*HOLDER_QUERY_SECONDS))
        finally:
            self._fetching = False
        fetched = self._has(version)
        log_event(
            "configuration_fetched",
            peer=address,
            version=version,
            fetched=fetched,
            queries=queries,
            seconds=round(time.monotonic() - begun_at, 4),
        )
        return fetched

    def _has(self, version: int) -> bool:
        table = self._routes.get()
        return table is not None and table.version >= version

    def _query(
        self,
        address: str,
        rates: Sequence[RateLimitEntry] = (),
        entries: Sequence[Entry] = (),
        skip: int | None = None,
        path: PathQuery | None = None,
        takes_table: bool = True,
    ) -> PeerResponse | None:
        table = self._routes.get()
        version = (table.version if table else 0) if takes_table else NO_TABLE_ABOVE
        base = table.digest if table else b""
        own = self._own_address()
        asks = skip is not None
        request = PeerRequest(version, list(rates), list(entries), asks, path, base, own, skip or 0)
        # By default the socket resends a request by itself; -1 disables that.
        options = {
            "send_timeout": RESPONSE_TIMEOUT_MS,
            "recv_timeout": RESPONSE_TIMEOUT_MS,
            "resend_time": -1,
        }
        begun_at = time.monotonic()
        try:
            with pynng.Req0(**options) as link:
                link.dial(f"tcp://{address}", block=False)
                link.send(msgspec.msgpack.encode(request))
                response = decode_message(link.recv(), PeerResponse)
                age = response.age + time.monotonic() - begun_at
                return msgspec.structs.replace(response, age=age)
        except (pynng.NNGException, msgspec.DecodeError) as error:
            log_event("peer_silent", peer=address, error=repr(error))
            return None

    def _apply(self, address: str, response: PeerResponse) -> None:
        log_event(
            "peer_answered",
            peer=address,
            configuration=response.configuration,
            age=round(response.age, 3),
            giver=response.leader.instance if response.leader else None,
        )
        self._routes.note_newest(response.configuration, response.age)
        if response.leader is not None:
            self._learn_leader(response.lease_version, response.leader)
        data = response.table or response.difference
        current = self._routes.get()
        if not data or (current is not None and current.version >= response.configuration):
            return
        begun_at = time.monotonic()
        try:
            table = _build(response, current)
        except (zlib.error, msgspec.DecodeError) as error:
            log_event("peer_table_invalid", level="WARNING", peer=address, error=repr(error))
            return
        log_event(
            "configuration_received",
            source=address,
            version=table.version,
            whole=bool(response.table),
            bytes=len(data),
            build_seconds=round(time.monotonic() - begun_at, 4),
        )
        self._routes.offer(table)


def _build(response: PeerResponse, base: RouteTable | None) -> RouteTable:
    """Return the table in the response; raise `zlib.error` or `msgspec.DecodeError`."""
    if response.table:
        return decode_table(_decompress(response.table))
    if base is None:
        raise msgspec.ValidationError("a difference without a table to apply it to")
    return apply_difference(base, _decompress(response.difference))


def _decompress(data: bytes) -> bytes:
    return zlib.decompressobj().decompress(data, MAX_TABLE_BYTES)
