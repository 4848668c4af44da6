"""The open answer of one attempt: events checked one by one."""

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
    """Yields events of one attempt and no other's; its connection is used once."""

    def __init__(
        self, engine: EngineMember, attempt_id: str, response: urllib3.BaseHTTPResponse
    ) -> None:
        self._engine = engine
        self._attempt_id = attempt_id
        self._response = response
        # Kept here: urllib3 forgets the connection when the body has been read.
        self._connection = response.connection

    def events(self, position: int) -> Iterator[StreamEvent]:
        """Yield each token from ``position`` on, then the terminator.

        Raises `StreamSilent` when nothing came for too long, and `StreamBroken`
        when the stream was cut, or at the first event that is another attempt's,
        out of order, doubled, or an end that does not fit what has arrived. The
        connection is closed in every case: the next request on it would read
        the rest of this answer as its own.
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
        """Bound each further read; no effect when the upstream closes after this answer."""
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
