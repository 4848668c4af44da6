"""The response stream of one attempt, with each event checked."""

from collections.abc import Iterator

import msgspec
import urllib3

from redwingscale_daemon._internal.exceptions import StreamBroken, StreamSilent
from redwingscale_daemon._internal.models.generation import EndEvent, StreamEvent, TokenEvent
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.upstreams import dialect as dialects
from redwingscale_daemon._internal.upstreams.dialect import DIALECTS_BY_VENDOR
from redwingscale_daemon._internal.upstreams.sse import read_events


class EngineStream:
    """Yields the events of one attempt; its connection is not reused."""

    def __init__(
        self, engine: EngineMember, attempt_id: str, response: urllib3.BaseHTTPResponse
    ) -> None:
        self._engine = engine
        self._attempt_id = attempt_id
        self._response = response
        # Stored since urllib3 drops its reference once the body has been read.
        self._connection = response.connection

    def events(self, position: int) -> Iterator[StreamEvent]:
        """Yield each token from ``position`` on, then the terminator.

        Raises `StreamSilent` on a read timeout, and `StreamBroken` if the stream is
        truncated or at the first event that belongs to another attempt, is out of order
        or repeated, or is a terminator whose total does not match the tokens received.
        The connection is closed in every case: another request on it would read the
        rest of this response as its own.
        """
        try:
            yield from self._checked(position)
        except (urllib3.exceptions.ReadTimeoutError, TimeoutError) as error:
            raise StreamSilent(self._engine.id, repr(error), run=RunState.UNKNOWN) from error
        except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError) as error:
            raise StreamBroken(self._engine.id, repr(error), run=RunState.UNKNOWN) from error
        finally:
            self.close()

    def set_timeout(self, seconds: float) -> None:
        """Set the timeout of further reads.

        Has no effect if the upstream closes the connection after this response.
        """
        sock = getattr(self._connection, "sock", None)
        if sock is not None:
            sock.settimeout(seconds)

    def close(self) -> None:
        """Close the connection."""
        self._response.close()
        if self._connection is not None:
            self._connection.close()

    def _checked(self, expected: int) -> Iterator[StreamEvent]:
        parse = dialects.event_parser(DIALECTS_BY_VENDOR[self._engine.vendor])
        attempt_id = self._attempt_id
        for raw in read_events(self._response):
            event = parse(raw, attempt_id)
            match event:
                case TokenEvent() if event.position == expected:
                    expected += 1
                    yield event
                case EndEvent() if event.total == expected:
                    yield event
                    return
                case None:
                    raise self._broken("an event of another attempt")
                case _:
                    raise self._broken(f"{event} in place of number {expected}")
        raise self._broken("ended without terminator")

    def _broken(self, detail: str) -> StreamBroken:
        return StreamBroken(self._engine.id, detail, run=RunState.UNKNOWN)
