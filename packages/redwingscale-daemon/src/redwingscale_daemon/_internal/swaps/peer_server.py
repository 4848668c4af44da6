"""Serves the configuration and the leader's row to instances that the store rejects."""

import threading
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import msgspec
import pynng
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.path_messages import PathQuery, PathReply
from redwingscale_daemon._internal.fleet.rate_limit_messages import RateLimitEntry
from redwingscale_daemon._internal.membership.entry import Entry, EntryPage
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.swaps.leader_server import open_port
from redwingscale_daemon._internal.swaps.lease_record import LeaderRecord
from redwingscale_daemon._internal.swaps.table_replies import TableReplies
from redwingscale_daemon._internal.utils.documents import decode_message

_TIMEOUT_MS = 1000


class PeerRequest(msgspec.Struct, array_like=True):
    """The version of the sender's configuration, and what has changed there.

    ``rates`` are rate limits, ``entries`` those that all instances exchange. ``asks``:
    the response shall contain entries of the peer, all but the first ``skip``. ``path`` asks
    which upstreams it reaches; a peer of an older release does not know the question. ``base`` is
    the digest of the sender's configuration, empty if it knows no differences. ``address`` is that
    of the sender's peer server, empty if it knows no ``holders``.
    """

    configuration: int
    rates: list[RateLimitEntry] = []
    entries: list[Entry] = []
    asks: bool = False
    path: PathQuery | None = None
    base: bytes = b""
    address: str = ""
    skip: int = 0


class PeerResponse(msgspec.Struct, array_like=True):
    """The configuration and the leader as known to the peer.

    If the peer's configuration is newer than the requester's, ``table`` has it as a whole or
    ``difference`` leads to it from the requester's, or the instances at ``holders`` have it,
    while the peer may not send it; else these are empty. It was last known to be in force
    ``age`` seconds ago. ``lease_version`` and ``leader`` are the leader's row as last read or
    received.
    """

    configuration: int
    table: bytes
    age: float
    # The number of ``lease_version``.
    lease_number: int
    leader: LeaderRecord | None
    entries: list[Entry] = []
    path: PathReply | None = None
    difference: bytes = b""
    holders: list[str] = []
    # The era of ``lease_version``.
    lease_era: int = 0
    # How many entries follow ``entries``; an instance of an older release sends all at once.
    entries_left: int = 0

    @property
    def lease_version(self) -> StoreVersion:
        """The version of the leader's row."""
        return StoreVersion(self.lease_era, self.lease_number)


class Entries(Protocol):
    """The entries that all instances exchange."""

    def receive(self, entries: Iterable[Entry], sender: str = "") -> None:
        """Take the entries that the peer at the address ``sender`` has sent."""

    def page(self, skip: int) -> EntryPage:
        """Return entries after the first ``skip``."""


class LeaseState(NamedTuple):
    """The leader's row as known to an instance."""

    row_version: StoreVersion
    record: LeaderRecord | None


class PeerServer:
    """Listens on a port of its own, and sends one response to each request."""

    def __init__(
        self,
        host: str,
        port: int,
        routes: CurrentRoutes,
        configuration_age: Callable[[], float],
        lease: Callable[[], LeaseState],
        receive_rates: Callable[[list[RateLimitEntry]], None] = lambda _: None,
        entries: Callable[[], Entries | None] = lambda: None,
        reply_on_path: Callable[[PathQuery], PathReply | None] = lambda query: None,
        link_mbps: float = 1000.0,
    ) -> None:
        self._socket = pynng.Rep0(recv_timeout=_TIMEOUT_MS, send_timeout=_TIMEOUT_MS)
        self._host = host
        self.port = port
        self._routes = routes
        self._age = configuration_age
        self._lease = lease
        self._receive_rates = receive_rates
        self._entries = entries
        self._reply_on_path = reply_on_path
        self._tables = TableReplies(routes, link_mbps)
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="peer-desk", daemon=True)

    @property
    def address(self) -> str:
        """The address at which other instances reach this server."""
        return f"{self._host}:{self.port}"

    def start(self) -> None:
        """Listen on the port; raise `OSError` if it is in use."""
        self.port = open_port(self._socket, f"tcp://{self._host}:{self.port}")
        self._thread.start()

    def stop(self) -> None:
        """Close the port."""
        self._stopped = True
        self._thread.join(2 * _TIMEOUT_MS / 1000)
        self._socket.close()

    def _run(self) -> None:
        while not self._stopped:
            try:
                request = decode_message(self._socket.recv(), PeerRequest)
                self._receive_rates(request.rates)
                response = self._make_response(request)
                if request.path is not None:
                    path = self._reply_on_path(request.path)
                    response = msgspec.structs.replace(response, path=path)
                self._socket.send(msgspec.msgpack.encode(response))
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            except (msgspec.DecodeError, pynng.NNGException) as error:
                log_event("peer_question_failed", level="WARNING", error=repr(error))

    def _make_response(self, request: PeerRequest) -> PeerResponse:
        table = self._routes.get()
        lease = self._lease()
        exchange = self._entries()
        page = EntryPage([])
        if exchange is not None:
            exchange.receive(request.entries, request.address)
            page = exchange.page(request.skip) if request.asks else page
        if table is None:
            return PeerResponse(
                0,
                b"",
                float("inf"),
                lease.row_version.number,
                lease.record,
                list(page.entries),
                lease_era=lease.row_version.era,
                entries_left=page.left,
            )
        newer = self._tables.reply_to(request.configuration, request.base, request.address)
        return PeerResponse(
            table.version,
            newer.table,
            self._age(),
            lease.row_version.number,
            lease.record,
            list(page.entries),
            difference=newer.difference,
            holders=newer.holders,
            lease_era=lease.row_version.era,
            entries_left=page.left,
        )
