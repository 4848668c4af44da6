"""A caller that takes up a broken stream at another instance, and keeps what it received."""

import http.client
import time
from collections.abc import Callable, Sequence
from contextlib import closing
from typing import NamedTuple

from redwingscale_standins.hosted.documents import HOST
from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.versions.rule import Piece, read_pieces

# Without an event for this long, a caller leaves an instance.
EVENT_SECONDS = 2.0
_READ_BYTES = 4096


class Habits(NamedTuple):
    """How callers behave.

    They leave each instance after ``leave_after`` events, None to stay. A stream that broke is
    taken up at the next instance after ``pause_seconds``, until ``patience_seconds`` after its
    first try.
    """

    events: int = 24
    leave_after: int | None = None
    pause_seconds: float = 0.2
    patience_seconds: float = 8.0
    model: str = "m1"


class Try(NamedTuple):
    """One request; ``status`` is None if the connection failed, ``resumed`` for a take-up.

    It took ``seconds``; ``refusal`` is the body of an answer without events.
    """

    request: str
    status: int | None
    pieces: list[Piece]
    resumed: bool
    first_event_seconds: float | None
    refusal: str
    seconds: float


class Held(NamedTuple):
    """What a caller holds of a stream, over all its ``tries``."""

    tries: list[Try]
    pieces: list[Piece]
    whole: bool

    @property
    def taken_up(self) -> bool:
        """Whether the caller asked an instance to go on with the stream."""
        return any(one.resumed for one in self.tries)

    @property
    def went_on(self) -> bool:
        """Whether an instance went on with it when asked."""
        return any(one.resumed and one.pieces for one in self.tries)


def hold_stream(
    name: str,
    first: int,
    instances: Sequence[InstanceProcess],
    habits: Habits,
    key: str | None = None,
    parts: str | None = None,
) -> Held:
    """Request the stream at instance ``first``, and go on at the others where it breaks.

    ``parts`` is the header that names the parts of its prompt.
    """
    tries: list[Try] = []
    pieces: list[Piece] = []
    began = ""
    ends_at = time.monotonic() + habits.patience_seconds
    while time.monotonic() < ends_at:
        at = instances[(first + len(tries)) % len(instances)]
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        if parts is not None:
            headers["X-Redwingscale-Prefix-Hash"] = parts
        if pieces:
            headers |= {"Last-Event-Id": str(pieces[-1].number), "Resumes": began}
        request = f"{name}.{len(tries)}"
        made = request_once(at, request, name.encode(), headers, habits, pieces.append)
        tries.append(made)
        began = began or (request if pieces else "")
        if made.status is not None and 400 <= made.status < 500 and made.status != 429:
            break
        if len(pieces) >= habits.events:
            return Held(tries, pieces, whole=True)
        time.sleep(habits.pause_seconds)
    return Held(tries, pieces, whole=False)


def request_once(
    instance: InstanceProcess,
    request: str,
    body: bytes,
    more: dict[str, str],
    habits: Habits,
    on_piece: Callable[[Piece], None] = lambda piece: None,
) -> Try:
    """Request one stream with ``more`` headers; ``on_piece`` is called with each whole event."""
    resumed = "Resumes" in more
    headers = {
        "Host": HOST,
        "X-Redwingscale-Request-Id": request,
        "X-Redwingscale-Model-Name": habits.model,
        "X-Redwingscale-Token-Usage": f"10,{habits.events}",
        "X-Redwingscale-Deadline-Ms": str(int(habits.patience_seconds * 1000)),
    } | more
    sent_at = time.monotonic()
    received: list[Piece] = []
    first_event: float | None = None
    status, data = None, b""
    try:
        with closing(
            http.client.HTTPConnection("127.0.0.1", instance.ports[0], timeout=EVENT_SECONDS)
        ) as connection:
            connection.request("POST", "/live/x", body=body, headers=headers)
            response = connection.getresponse()
            status = response.status
            while chunk := response.read1(_READ_BYTES):
                data += chunk
                for piece in [*read_pieces(data)][len(received) :] if status < 300 else ():
                    first_event = first_event or time.monotonic() - sent_at
                    received.append(piece)
                    on_piece(piece)
                if habits.leave_after is not None and len(received) >= habits.leave_after:
                    break
    except (OSError, http.client.HTTPException, IndexError):
        # The process of the instance is down or has ended, or the answer was cut.
        pass
    refusal = data.decode(errors="replace") if status is not None and status >= 400 else ""
    return Try(request, status, received, resumed, first_event, refusal, time.monotonic() - sent_at)
