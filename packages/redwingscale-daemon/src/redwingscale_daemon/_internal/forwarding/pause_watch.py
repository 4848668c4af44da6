"""Observes the events of one attempt, to learn how its upstream pauses streams."""

import time

from redwingscale_daemon._internal.fleet.load_tracker import Load, LoadTicket
from redwingscale_daemon._internal.fleet.stream_pauses import StreamPauses
from redwingscale_daemon._internal.forwarding.call import Call

# After a longer write to the caller, events may have arrived while nobody read them.
MAX_WRITE_SECONDS = 0.005


class PauseWatch:
    """Tells `StreamPauses` of the first event and the pauses of an attempt.

    ``before`` is the load of the upstream when the request was sent, with ``unread`` prompt
    tokens of its own. Does nothing if ``pauses`` is None or the route limits no pauses.
    """

    def __init__(
        self, pauses: StreamPauses | None, call: Call, upstream_id: str, before: Load, unread: int
    ) -> None:
        limited = pauses is not None and pauses.applies(call.service)
        self._pauses = pauses if limited and call.route.longest_gap_seconds else None
        self._service = call.service
        self._upstream_id = upstream_id
        self._before = before
        self._unread = unread
        # When the last event was read, None before the first one and after a slow write.
        self._read_at: float | None = None

    def note_first_event(self, ticket: LoadTicket, seconds: float) -> None:
        """Count the stream as generating; its first event came after ``seconds``."""
        if self._pauses is not None:
            ticket.note_generating()
            self._pauses.note_prompt_read(
                self._service, self._upstream_id, self._before, self._unread, seconds
            )

    def note_read(self) -> None:
        """Note that an event was read from the upstream."""
        if self._pauses is None:
            return
        now = time.monotonic()
        if self._read_at is not None:
            self._pauses.note_pause(self._service, self._upstream_id, now - self._read_at)
        self._read_at = now

    def note_written(self) -> None:
        """Note that the event was written to the caller."""
        if self._read_at is not None and time.monotonic() - self._read_at > MAX_WRITE_SECONDS:
            self._read_at = None
