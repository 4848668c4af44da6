"""When each peer was last heard, on this instance's own clock."""

import hashlib
import threading
import time
from typing import NamedTuple


def beat_id(instance: str) -> int:
    """Return the 32-bit name of ``instance`` in relayed beats."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=4).digest(), "big")


NEVER = float("-inf")


class _Heard(NamedTuple):
    """The highest beat of a peer, and when it arrived on the monotonic clock."""

    beat: int
    at: float


class PeerHeartbeats:
    """Newest heartbeat of each peer, heard directly or relayed by others.

    Only a beat that is higher than all before counts: a frame that is late,
    repeated or replayed does not make a dead peer look alive.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heard_by_id: dict[int, _Heard] = {}
        self._direct_by_peer: dict[str, _Heard] = {}
        self._relayed_ids: set[int] = set()

    def receive(self, peer: str, beat: int, *, inside: bool) -> bool:
        """Take a beat that ``peer`` sent itself; return False for a replayed one.

        ``inside`` tells whether the peer is of the own failure domain; only
        such beats are relayed.
        """
        with self._lock:
            known = self._direct_by_peer.get(peer)
            if known is not None and beat < known.beat:
                return False
            if known is None or beat > known.beat:
                self._direct_by_peer[peer] = _Heard(beat, time.monotonic())
            self._raise(beat_id(peer), beat, time.monotonic())
            if inside:
                self._relayed_ids.add(beat_id(peer))
            return True

    def relay(self, heartbeats: list[tuple[int, int]]) -> None:
        """Take beats of the own failure domain that a peer relayed."""
        with self._lock:
            for peer_id, beat in heartbeats:
                # A first sight may be the last beat of a peer that died long ago: only a
                # beat that rises while this instance listens shows that the peer lives.
                self._raise(peer_id, beat, NEVER)
                self._relayed_ids.add(peer_id)

    def latest(self, peer: str) -> int:
        """Return the last beat that came from ``peer`` directly; 0 for none."""
        known = self._direct_by_peer.get(peer)
        return known.beat if known else 0

    def relayed(self) -> list[tuple[int, int]]:
        """Return the newest beats of the own failure domain by beat id."""
        with self._lock:
            return [(key, self._heard_by_id[key].beat) for key in self._relayed_ids]

    def silent_seconds(self, peer: str) -> float:
        """Return how long ``peer`` has been silent; infinite when never heard.

        It tells of every instance of the own failure domain, linked or not.
        """
        with self._lock:
            known = self._heard_by_id.get(beat_id(peer))
        return float("inf") if known is None else time.monotonic() - known.at

    def forget_silent(self, keep: set[str], seconds: float) -> None:
        """Drop peers outside ``keep`` that have been silent for longer.

        Memory stays bounded, and a listed peer's last beat is kept for good: its
        recorded frames, replayed one by one, never count as new.
        """
        horizon = time.monotonic() - seconds
        kept = {beat_id(peer) for peer in keep}
        with self._lock:
            for key in [k for k, h in self._heard_by_id.items() if h.at < horizon]:
                if key not in kept:
                    del self._heard_by_id[key]
                    self._relayed_ids.discard(key)
            for peer in [p for p, h in self._direct_by_peer.items() if h.at < horizon]:
                if peer not in keep:
                    del self._direct_by_peer[peer]

    def _raise(self, key: int, beat: int, at_first: float) -> None:
        known = self._heard_by_id.get(key)
        if known is None:
            self._heard_by_id[key] = _Heard(beat, at_first)
        elif beat > known.beat:
            self._heard_by_id[key] = _Heard(beat, time.monotonic())
