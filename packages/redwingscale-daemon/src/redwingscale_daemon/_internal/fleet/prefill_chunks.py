"""Learns how many prompt tokens an engine reads between two tokens of its streams."""

import threading
import time
from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

# Until pauses show a smaller chunk, all unread tokens count as read between two events, up
# to a chunk of this size.
UNKNOWN_CHUNK_TOKENS = 8192.0
CHUNKS_TOKENS = (512.0, 1024.0, 2048.0, 4096.0)
# The load of others is known up to 0.75 s late: the pauses in three such slots are
# compared with the unread tokens that were known in the middle one.
SLOT_SECONDS = 0.5
SLOTS_COMPARED = 3
# Slots with less time between observed events may have missed the pause.
MIN_OBSERVED_SECONDS = 0.7
# A chunk is accepted if the tokens known to be unread would have filled more than one event, while
# the pauses of nearly all windows fit one event of it.
FILLED_EVENTS = 1.5
MIN_WINDOWS = 6
MOST_LONGER_FRACTION = 0.2
# Slow spells make pauses up to 2.5 times longer; few windows have one.
LONGER_RATIO = 1.35
WINDOWS_KEPT = 200
WINDOW_AGE_SECONDS = 120.0


class Window(NamedTuple):
    """Most unread tokens, and most tokens read between two events, around a moment."""

    at: float
    unread: float
    read: float


class _Slot:
    def __init__(self, number: int) -> None:
        self.number = number
        self.observed_seconds = 0.0
        self.unread = 0.0
        self.read = 0.0


class PrefillChunks:
    """The prefill chunk that the workers of one service have in common.

    Every pause of every stream is noted, some hundred a second; a window is evaluated
    twice a second for each worker with observed streams.
    """

    def __init__(self, service: str, tokens_per_event: int) -> None:
        self._service = service
        self._tokens_per_event = tokens_per_event
        self._lock = threading.Lock()
        self._slots_by_id: dict[str, deque[_Slot]] = {}
        self._windows: deque[Window] = deque(maxlen=WINDOWS_KEPT)
        self._learned: float | None = None

    @property
    def learned(self) -> float | None:
        """Prompt tokens that a worker reads in a step, None while unknown."""
        return self._learned

    @property
    def tokens(self) -> float:
        """The learned chunk, a large one while it is unknown."""
        return self._learned or UNKNOWN_CHUNK_TOKENS

    def note_pause(
        self, upstream_id: str, seconds: float, unread_tokens: float, read_tokens: float
    ) -> None:
        """Note the time between two events of a stream.

        ``unread_tokens`` are known to be unread at the worker, and it can have read
        ``read_tokens`` in that time.
        """
        now = time.monotonic()
        with self._lock:
            slot = self._slot(upstream_id, int(now / SLOT_SECONDS))
            slot.observed_seconds += seconds
            slot.unread = max(slot.unread, unread_tokens)
            slot.read = max(slot.read, read_tokens)

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop workers that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._slots_by_id.pop(key, None)

    def _slot(self, upstream_id: str, number: int) -> _Slot:
        slots = self._slots_by_id.setdefault(upstream_id, deque(maxlen=SLOTS_COMPARED))
        if not slots or slots[-1].number != number:
            self._add_window(slots)
            slots.append(_Slot(number))
        return slots[-1]

    def _add_window(self, slots: "deque[_Slot]") -> None:
        if len(slots) < SLOTS_COMPARED or slots[-1].number - slots[0].number >= SLOTS_COMPARED:
            return
        if sum(slot.observed_seconds for slot in slots) < MIN_OBSERVED_SECONDS:
            return
        now = time.monotonic()
        self._windows.append(Window(now, slots[1].unread, max(slot.read for slot in slots)))
        while self._windows[0].at < now - WINDOW_AGE_SECONDS:
            self._windows.popleft()
        chunk = learned_chunk(self._windows, self._tokens_per_event)
        if chunk != self._learned:
            log_event(
                "prefill_chunk",
                service=self._service,
                tokens=chunk or "-",
                before=self._learned or "-",
                windows=len(self._windows),
            )
            self._learned = chunk


def learned_chunk(windows: Collection[Window], tokens_per_event: int) -> float | None:
    """Return the smallest chunk that explains the pauses of ``windows``, None if none does."""
    for chunk in CHUNKS_TOKENS:
        event = tokens_per_event * chunk
        filled = [one for one in windows if one.unread >= FILLED_EVENTS * event]
        longer = sum(1 for one in filled if one.read > LONGER_RATIO * event)
        if len(filled) >= MIN_WINDOWS and longer <= MOST_LONGER_FRACTION * len(filled):
            return chunk
    return None
