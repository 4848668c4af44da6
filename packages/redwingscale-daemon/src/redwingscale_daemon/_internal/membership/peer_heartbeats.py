"""The newest heartbeat of each peer, and when it arrived by the clock of this instance."""

import hashlib
import threading
import time
from typing import NamedTuple


def heartbeat_id(instance: str) -> int:
    """Return the 32-bit id of ``instance`` in relayed heartbeats."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=4).digest(), "big")


NEVER = float("-inf")


class _Received(NamedTuple):
    """The highest heartbeat of a peer, and when it arrived on the monotonic clock."""

    heartbeat: int
    received_at: float


class PeerHeartbeats:
    """Newest heartbeat of each peer, received directly or relayed by others.

    Only a heartbeat higher than all earlier ones counts, so a frame that is
    delayed, repeated or replayed does not make a dead peer look alive.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._latest_by_id: dict[int, _Received] = {}
        self._direct_by_peer: dict[str, _Received] = {}
        self._relayed_ids: set[int] = set()

    def receive(self, peer: str, heartbeat: int, *, same_domain: bool) -> bool:
        """Note a heartbeat that ``peer`` sent itself; return False for a replayed one.

        ``same_domain`` is whether the peer is in the own failure domain; only
        such heartbeats are relayed.
        """
        with self._lock:
            known = self._direct_by_peer.get(peer)
            if known is not None and heartbeat < known.heartbeat:
                return False
            if known is None or heartbeat > known.heartbeat:
                self._direct_by_peer[peer] = _Received(heartbeat, time.monotonic())
            self._note_higher(heartbeat_id(peer), heartbeat, time.monotonic())
            if same_domain:
                self._relayed_ids.add(heartbeat_id(peer))
            return True

    def relay(self, heartbeats: list[tuple[int, int]]) -> None:
        """Note heartbeats of the own failure domain that a peer relayed."""
        with self._lock:
            for peer_id, heartbeat in heartbeats:
                # The first one may be the last heartbeat of a peer that ended long ago. Only
                # a heartbeat that rises while this instance runs shows that the peer is live.
                self._note_higher(peer_id, heartbeat, NEVER)
                self._relayed_ids.add(peer_id)

    def latest(self, peer: str) -> int:
        """Return the last heartbeat received directly from ``peer``; 0 for none."""
        known = self._direct_by_peer.get(peer)
        return known.heartbeat if known else 0

    def relayed(self) -> list[tuple[int, int]]:
        """Return the newest heartbeats of the own failure domain by heartbeat id."""
        with self._lock:
            return [(key, self._latest_by_id[key].heartbeat) for key in self._relayed_ids]

    def silent_seconds(self, peer: str) -> float:
        """Return the seconds since the newest heartbeat of ``peer`` arrived; infinite without one.

        This covers every instance of the own failure domain, linked or not.
        """
        with self._lock:
            known = self._latest_by_id.get(heartbeat_id(peer))
        return float("inf") if known is None else time.monotonic() - known.received_at

    def forget_silent(self, keep: set[str], seconds: float) -> None:
        """Drop peers outside ``keep`` that have been silent for longer than ``seconds``.

        This bounds the memory. The last heartbeat of a listed peer is kept without
        limit, so that its recorded frames, replayed one by one, never count as new.
        """
        horizon = time.monotonic() - seconds
        kept = {heartbeat_id(peer) for peer in keep}
        with self._lock:
            for key in [k for k, h in self._latest_by_id.items() if h.received_at < horizon]:
                if key not in kept:
                    del self._latest_by_id[key]
                    self._relayed_ids.discard(key)
            for peer in [p for p, h in self._direct_by_peer.items() if h.received_at < horizon]:
                if peer not in keep:
                    del self._direct_by_peer[peer]

    def _note_higher(self, key: int, heartbeat: int, first_received_at: float) -> None:
        known = self._latest_by_id.get(key)
        if known is None:
            self._latest_by_id[key] = _Received(heartbeat, first_received_at)
        elif heartbeat > known.heartbeat:
            self._latest_by_id[key] = _Received(heartbeat, time.monotonic())
