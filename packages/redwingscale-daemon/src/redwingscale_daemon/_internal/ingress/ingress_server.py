"""HTTP server for requests that are forwarded byte for byte."""

import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway, HTTPRequest
from redwingscale_common.network.accepting import AcceptingServer
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import CallerLeft, Refusal
from redwingscale_daemon._internal.ingress.byte_budget import ByteBudget
from redwingscale_daemon._internal.ingress.caller_connection import CallerConnection
from redwingscale_daemon._internal.ingress.descriptor_limits import MAX_IDLE_CONNECTIONS
from redwingscale_daemon._internal.ingress.held_bytes import HeldBytes
from redwingscale_daemon._internal.ingress.ingress_request import IngressRequest
from redwingscale_daemon._internal.ingress.port_stop import PortStop
from redwingscale_daemon._internal.ingress.reply import Reply
from redwingscale_daemon._internal.ingress.request_threads import RequestThreads
from redwingscale_daemon._internal.ingress.strict_chunks import read_chunks
from redwingscale_daemon._internal.ingress.unread_closes import UnreadCloses
from redwingscale_daemon._internal.leases.clock import lease_clock
from redwingscale_daemon._internal.lifecycle.stop_rule import unread_refusal

Handler = Callable[[IngressRequest, Reply], None]
# Answers a request by its head alone, or returns False to let the server read its body.
Screen = Callable[[IngressRequest, Reply], bool]
# Answers a request that is refused before its body was read whole.
RefuseUnread = Callable[[IngressRequest, Reply, Refusal], None]
SHUTDOWN_SECONDS = 1
# How long a caller may take for a refusal, which has no deadline.
REST_SECONDS = 2.5
# Threads that a port keeps while it is idle.
MIN_THREADS = 2
# Connections that the kernel holds until they are accepted. The server's default is 5: the opening
# packets of further ones are dropped, and are sent again only a second later.
ACCEPT_QUEUE_CONNECTIONS = 1024


class PortLimits(NamedTuple):
    """Bounds of a port; ``idle_seconds`` also bounds the time to send a request.

    ``refusing_threads`` of the ``threads`` are reserved to refuse requests while all
    others are busy. Beyond ``idle_connections`` an answer closes its connection. A caller may
    make the port wait ``rest_seconds`` for the rest of a refusal.
    """

    threads: int
    head_bytes: int
    body_bytes: int
    idle_seconds: int
    refusing_threads: int = 0
    name: str = "port"
    idle_connections: int = MAX_IDLE_CONNECTIONS
    rest_seconds: float = REST_SECONDS


def _send_refusal(head: IngressRequest, reply: Reply, refusal: Refusal) -> None:
    reply.send(refusal.status, (), refusal.document())


class _Apps(NamedTuple):
    handler: Handler
    screen: Screen
    refuse_unread: RefuseUnread


class _Gateway(Gateway):
    def __init__(self, apps: _Apps, body_bytes: int, budget: ByteBudget, req: HTTPRequest) -> None:
        super().__init__(req)
        self._apps = apps
        self._body_bytes = body_bytes
        self._held = HeldBytes(budget)

    def respond(self) -> None:
        try:
            self._respond()
        finally:
            self.req.conn.wfile.count_with(None)
            self._held.close()

    def _respond(self) -> None:
        server_request = self.req
        try:
            head = _ingress_request(server_request, self._held)
            if self._apps.screen(head, Reply(server_request, self._held)):
                return
            self._held.keep_body(self._read_body())
        except Refusal as refusal:
            self._refuse_unread(head, refusal)
            return
        except MaxSizeExceeded:
            server_request.simple_response("413 Content Too Large")
            server_request.sent_headers = True
            return
        except (ValueError, EOFError) as error:
            log_event("request_malformed", level="WARNING", place="body", detail=error)
            server_request.simple_response("400 Bad Request", str(error))
            server_request.sent_headers = True
            return
        except TimeoutError:
            if not server_request.server.port_stop.begun:
                raise
            self._refuse_unread(head, unread_refusal())
            return
        except CallerLeft:
            self._close_without_answer()
            return
        try:
            self._apps.handler(head, Reply(server_request, self._held))
        except CallerLeft:
            self._close_without_answer()

    def _refuse_unread(self, head: IngressRequest, refusal: Refusal) -> None:
        reply = Reply(self.req, self._held)
        reply.leave_body_unread()
        try:
            self._apps.refuse_unread(head, reply, refusal)
        except CallerLeft:
            self._close_without_answer()

    def _close_without_answer(self) -> None:
        self.req.is_cut = True
        self.req.close_connection = True
        self.req.chunked_write = False
        self.req.sent_headers = True
        self.req.conn.wfile.drop()

    def _read_body(self) -> bytes:
        if self.req.chunked_read:
            body = read_chunks(self.req.conn.rfile, self._body_bytes, self._held.add_body)
            self.req.rfile.closed = True
            return body
        length = int(self.req.inheaders.get(b"Content-Length", 0))
        if length > self._body_bytes:
            raise MaxSizeExceeded
        self._held.add_body(length)
        body = self.req.rfile.read(length) if length else b""
        if len(body) != length:
            raise EOFError("the body ended before its length")
        return body


class IngressServer:
    """Serves ``handler`` on a TCP port; port 0 selects a free one."""

    def __init__(
        self,
        handler: Handler,
        host: str,
        port: int,
        limits: PortLimits,
        screen: Screen = lambda head, reply: False,
        refuse_unread: RefuseUnread = _send_refusal,
        budget: ByteBudget | None = None,
        unread_closes: UnreadCloses | None = None,
    ) -> None:
        apps = _Apps(handler, screen, refuse_unread)
        gateway = partial(_Gateway, apps, limits.body_bytes, budget or ByteBudget())
        server: Any = AcceptingServer((host, port), gateway)
        self._server = server
        self._threads = RequestThreads(
            server,
            limits.name,
            min(MIN_THREADS, limits.threads),
            limits.threads,
            self._admits,
        )
        self._answering_threads = limits.threads - limits.refusing_threads
        # The others serve requests on connections that are open already.
        self._threads_for_new = self._answering_threads - limits.refusing_threads
        self._unread_closes = unread_closes or UnreadCloses()
        server.unread_closes = self._unread_closes
        server.requests = self._threads
        server.ConnectionClass = CallerConnection
        server.request_queue_size = ACCEPT_QUEUE_CONNECTIONS
        server.keep_alive_conn_limit = limits.idle_connections
        server.max_request_header_size = limits.head_bytes
        server.timeout = limits.idle_seconds
        server.rest_seconds = limits.rest_seconds
        server.port_stop = PortStop()
        server.error_log = _log_server_error
        self._thread = threading.Thread(
            target=server.serve, name=f"{limits.name}-accept", daemon=True
        )

    def start(self) -> None:
        """Bind the address and serve; raise OSError if the address is in use."""
        self._server.prepare()
        self._thread.start()

    @property
    def port(self) -> int:
        """The bound port, also if port 0 was requested."""
        return int(self._server.bind_addr[1])

    @property
    def crowded(self) -> bool:
        """Whether only threads reserved to refuse requests are free."""
        return self._threads.busy > self._answering_threads

    @property
    def busy_fraction(self) -> float:
        """The fraction of the threads that serve a connection."""
        return self._threads.busy / max(1, self._threads.max)

    def _admits(self, connection: CallerConnection) -> bool:
        """Return whether a connection may wait for a thread."""
        taken = self._threads.busy + self._threads.qsize
        if connection.was_read or taken < self._threads_for_new:
            return True
        connection.is_turned_away = self._unread_closes.closes_full()
        return not connection.is_turned_away

    def stop(self, timeout_seconds: float = SHUTDOWN_SECONDS) -> None:
        """Stop accepting, close idle connections, and end all others in ``timeout_seconds``.

        Each request that was read is answered: for one that was read and then dropped, its
        caller could not know that it has not run. Connections without a request are closed.
        """
        self._threads.ends_at = time.monotonic() + timeout_seconds
        self._server.stop()


def _ingress_request(server_request: HTTPRequest, held: HeldBytes) -> IngressRequest:
    """Return the request without its body."""
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in server_request.inheaders.items()
    )
    host = server_request.inheaders.get(b"Host", b"").decode("latin-1")
    server_request.conn.state.requests += 1
    return IngressRequest(
        method=server_request.method.decode("latin-1"),
        target=server_request.uri.decode("latin-1"),
        host=host.rsplit(":", 1)[0].lower(),
        headers=headers,
        arrived_at=time.monotonic(),
        socket=server_request.conn.socket,
        arrived_on_lease_clock=lease_clock(),
        held=held,
        connection=server_request.conn.state,
    )


def _log_server_error(msg: str = "", level: int = 0, traceback: bool = False) -> None:
    log_event("server_error", level="WARNING", detail=msg)
