"""Asks other instances while neither the store nor the order giver tells."""

import random
import time
import zlib
from collections.abc import Callable, Iterable, Sequence

import msgspec
import pynng
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.rate_limit_messages import RateLimitEntry
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.table_record import decode_table
from redwingscale_daemon._internal.swaps.leader_lease import LeaderRecord
from redwingscale_daemon._internal.swaps.peer_server import PeerRequest, PeerResponse

MAX_PEERS = 32
# A peer that is turned away as well is followed by another one.
MAX_QUERIES_PER_STEP = 4
RESPONSE_TIMEOUT_MS = 400
# What a peer knows to be in force is told on within this time.
FRESH_CONFIGURATION_SECONDS = 1.5
MAX_TABLE_BYTES = 32 << 20


class PeerClient:
    """Remembers peers that the order giver names, and asks some of them in turn."""

    def __init__(
        self,
        routes: CurrentRoutes,
        needed: Callable[[], bool],
        learn_leader: Callable[[int, LeaderRecord], None],
        own_address: Callable[[], str],
    ) -> None:
        self._routes = routes
        self._needed = needed
        self._learn_leader = learn_leader
        self._own_address = own_address
        # By address, when last named.
        self._announced_at: dict[str, float] = {}
        # Not for secrets: it only spreads questions.
        self._random = random.Random()

    def remember(self, peers: Iterable[str]) -> None:
        """Remember ``peers``, the newest ones."""
        now = time.monotonic()
        announced_at = self._announced_at | dict.fromkeys(peers, now)
        announced_at.pop(self._own_address(), None)
        newest = sorted(announced_at, key=announced_at.__getitem__, reverse=True)[:MAX_PEERS]
        self._announced_at = {address: announced_at[address] for address in newest}

    def addresses(self) -> list[str]:
        """Return the addresses of the peers that are remembered."""
        return list(self._announced_at)

    def push(self, address: str, rates: list[RateLimitEntry]) -> None:
        """Tell one peer of rates that have changed, and take its answer."""
        response = self._query(address, rates)
        if response is not None:
            self._apply(address, response)

    def step(self) -> None:
        """Ask until a peer answers that knows what is in force now, if that is needed."""
        if not self._needed():
            return
        addresses = self.addresses()
        for address in self._random.sample(addresses, min(MAX_QUERIES_PER_STEP, len(addresses))):
            response = self._query(address)
            if response is None:
                continue
            self._apply(address, response)
            if response.age < FRESH_CONFIGURATION_SECONDS:
                return

    def fetch(self, address: str, version: int) -> bool:
        """Ask one peer; return whether a configuration of ``version`` or later is in force."""
        response = self._query(address)
        if response is not None:
            self._apply(address, response)
        table = self._routes.get()
        return table is not None and table.version >= version

    def _query(self, address: str, rates: Sequence[RateLimitEntry] = ()) -> PeerResponse | None:
        table = self._routes.get()
        request = PeerRequest(table.version if table else 0, list(rates))
        # Without a resend time it would ask again by itself.
        options = {
            "send_timeout": RESPONSE_TIMEOUT_MS,
            "recv_timeout": RESPONSE_TIMEOUT_MS,
            "resend_time": -1,
        }
        try:
            with pynng.Req0(**options) as link:
                link.dial(f"tcp://{address}", block=False)
                link.send(msgspec.msgpack.encode(request))
                return msgspec.msgpack.decode(link.recv(), type=PeerResponse)
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
        if response.leader is not None:
            self._learn_leader(response.lease_version, response.leader)
        if not response.table:
            return
        try:
            data = zlib.decompressobj().decompress(response.table, MAX_TABLE_BYTES)
            self._routes.offer(decode_table(data))
        except (zlib.error, msgspec.DecodeError) as error:
            log_event("peer_table_invalid", level="WARNING", peer=address, error=repr(error))
