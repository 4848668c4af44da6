"""The streamed answer of a peer, while it is read and passed on."""

import socket
from collections.abc import Callable, Iterator
from http.client import HTTPResponse

from redwingscale_daemon._internal.forwarding import envelope
from redwingscale_daemon._internal.forwarding.attempt_state import AttemptState
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.event_reader import EventReader
from redwingscale_daemon._internal.forwarding.events import Event, read_events
from redwingscale_daemon._internal.forwarding.stream_progress import Progress
from redwingscale_daemon._internal.forwarding.upstream_connection import UpstreamConnection
from redwingscale_daemon._internal.ingress.ingress_request import Headers

# A peer asks a second upstream itself when one falls silent for 1.6 s.
PEER_STREAM_SILENCE_SECONDS = 3.0


class PeerStream:
    """The answer of a peer that has begun to send a stream."""

    def __init__(
        self,
        call: Call,
        name: str,
        connection: UpstreamConnection,
        response: HTTPResponse,
        headers: Headers,
        on_end: Callable[[], None],
        on_lost: Callable[[Exception], bool],
    ) -> None:
        self._call = call
        # The id of the peer.
        self.name = name
        self._connection = connection
        self._events = EventReader(read_events(response, call.note_read))
        # Called when the answer was read to its end, and when it broke.
        self._on_end, self._on_lost = on_end, on_lost
        self.state = AttemptState()
        # The version of the upstream that the peer asks; one of the release before says none.
        self.software = envelope.read_software(response.headers.get(envelope.SOFTWARE_HEADER))
        self.status = response.status
        self.headers = headers

    @property
    def silence_seconds(self) -> float | None:
        """How long to wait for the next byte until a second upstream is asked, None without a bound."""
        if not self._call.route.resumable:
            return None
        begun = self.state.events_received
        return PEER_STREAM_SILENCE_SECONDS if begun else self._call.route.first_event_seconds

    @property
    def socket(self) -> socket.socket:
        """The socket that the answer is read from."""
        return self._connection.open_socket

    def read(self) -> Iterator[Event]:
        """Yield the events that were not yielded before; raises one of `BREAKS`."""
        for event in self._events:
            self.state.events_received += 1
            yield event

    def read_next(self, progress: Progress) -> None:
        """Read up to the event that follows ``progress``, and keep it for `read`."""
        self._events.read_next(progress)

    def note_written(self) -> None:
        """Do nothing: what a peer sends says nothing about the own path."""

    def finish(self) -> None:
        """Keep the connection of an answer that was read to its end."""
        self._on_end()

    def lose(self, error: Exception, progress: Progress) -> bool:
        """Give up a broken answer; return False to retry, raises `Refusal` otherwise."""
        self.discard()
        return self._on_lost(error)

    def is_path_lost(self, began_at: float) -> bool:
        """Return False: a silent peer says nothing about the own path."""
        return False

    def drop(self, reason: Exception, progress: Progress, *, may_go_on: bool = False) -> None:
        """Give up the answer, since another attempt goes on."""
        self.discard()
        self._call.attempts.note_superseded(self.name, str(reason))

    def discard(self) -> None:
        """Reset the connection; the peer notices, and aborts what it runs for the request."""
        self._connection.discard()

    def close(self) -> None:
        """Do nothing: the peer keeps the account."""
