"""One HTTP connection to an upstream."""

import contextlib
import socket
import time
from collections import deque
from collections.abc import Callable, Iterable
from http.client import HTTPResponse

from redwingscale_common.network.strict_responses import StrictConnection, StrictResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, NameResolutionError, NewConnectionError

from redwingscale_daemon._internal.forwarding.line_bound import LineBound
from redwingscale_daemon._internal.forwarding.watch import Watch
from redwingscale_daemon._internal.forwarding.watched_connect import connect_watched
from redwingscale_daemon._internal.forwarding.watched_socket import WatchedSocket
from redwingscale_daemon._internal.utils.sockets import RESET_ON_CLOSE

# Connecting takes about one millisecond, four across failure domains. If it takes this
# long, the host is down or a packet was lost, and another upstream is tried.
CONNECT_SECONDS = 0.35
# The longest round trip to a second upstream for one stream, measured by connecting. Once it
# goes on, both work on the stream until its event has come and the first one is reset: a
# round trip and the time of this process, which may take 0.4 s together.
SECOND_CONNECT_SECONDS = 0.2
# A host that lost power acknowledges nothing: data in flight is abandoned after this time.
USER_TIMEOUT_MS = 4000
# A late copy of an answer comes before the next answer on its connection.
REMEMBERED_REQUESTS = 16
# Methods whose requests need no Content-Length if they have no body.
_BODILESS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


class UpstreamConnection(StrictConnection):
    """Sends requests with their raw target; every read waits under a `Watch`."""

    def __init__(self, host: str, port: int, connect_seconds: float = CONNECT_SECONDS) -> None:
        super().__init__(host, port, timeout=connect_seconds)
        self._connect_seconds = connect_seconds
        self._connect_watch: Watch | None = None
        self._watched: WatchedSocket | None = None
        self.response_count = 0
        # The ids of the last requests that were sent on it.
        self._request_ids: deque[str] = deque(maxlen=REMEMBERED_REQUESTS)
        # Monotonic time at which it began to open.
        self.opened_at = time.monotonic()
        self.idle_since = 0.0
        # Monotonic time from which the upstream may close this connection while it is idle.
        self.expires_at = float("inf")
        # Called once when the request on this connection is answered or given up.
        self.on_request_end: Callable[[], None] | None = None

    def connect(self, watch: Watch | None = None) -> None:
        """Connect; raises `HTTPError` or `OSError`, in which case nothing was sent.

        With the ``watch`` of a request it raises as `Watch.wait_until_connected` as well.
        """
        self._connect_watch = watch
        super().connect()
        assert isinstance(self.sock, socket.socket)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.sock.settimeout(USER_TIMEOUT_MS / 1000)
        self._watched = WatchedSocket(self.sock)
        self.sock = self._watched

    def _new_conn(self) -> socket.socket:
        if self._connect_watch is None:
            return super()._new_conn()
        try:
            return connect_watched(self.host, self.port, self._connect_seconds, self._connect_watch)
        except socket.gaierror as error:
            raise NameResolutionError(self.host, self, error) from error
        except TimeoutError as error:
            raise ConnectTimeoutError(self, str(error)) from error
        except OSError as error:
            raise NewConnectionError(self, str(error)) from error

    def send_request(
        self, method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send one whole request on the open connection; raises `OSError`."""
        self.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            self.putheader(name, value)
        if body or method not in _BODILESS:
            self.putheader("Content-Length", str(len(body)))
        self.endheaders(body or None)

    def note_request(self, request_id: str) -> None:
        """Note the id of a request that is sent on this connection."""
        self._request_ids.append(request_id)

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id was one of the last on this connection.

        A late copy of its answer could not be told from the answer to the same request.
        """
        return request_id in self._request_ids

    def receive_response(self, watch: Watch) -> HTTPResponse:
        """Return the response after reading its head; raises as `Watch` and `http.client` do."""
        assert self._watched is not None
        self._watched.raw.watch = watch
        self._watched.raw.lines = LineBound()
        try:
            # Bypasses urllib3's response: the body is read in pieces as they arrive, and is
            # neither decoded nor redirected.
            response = super(HTTPConnection, self).getresponse()
        finally:
            self._watched.raw.lines = None
        self.response_count += 1
        return response

    def receive_extra_response(self, method: str) -> HTTPResponse:
        """Return the response after one that belonged to an earlier request."""
        assert self._watched is not None
        response = StrictResponse(self._watched, method=method)  # type: ignore[arg-type]
        self._watched.raw.lines = LineBound()
        try:
            response.begin()
        finally:
            self._watched.raw.lines = None
        return response

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread bytes.

        An upstream may send bytes after a complete response, or a late duplicate of it.
        They would be taken for the response to the next request.
        """
        if self._watched is None:
            return False
        self._watched.raw.watch = None
        try:
            if self._watched.reader.peek(1):
                return False
            return self._watched.is_idle()
        except (OSError, ValueError):
            return False

    @property
    def open_socket(self) -> socket.socket:
        """The socket of the open connection."""
        assert self._watched is not None
        return self._watched.plain

    def rest(self) -> None:
        """Record that the connection is idle from now on."""
        self.idle_since = time.monotonic()

    def end_request(self) -> None:
        """Note that the request is answered or given up; a second call does nothing."""
        ended, self.on_request_end = self.on_request_end, None
        if ended is not None:
            ended()

    def discard(self) -> None:
        """Reset the connection; the upstream aborts what it runs for it.

        After an orderly close, a request that is delayed by a network partition would
        still reach the upstream once the partition ends, long after its caller has
        disconnected.
        """
        self.end_request()
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(*RESET_ON_CLOSE)
        if self._watched is not None:
            self._watched.close_now()
        elif self.sock is not None:
            self.sock.close()
