"""Serves requests that other instances pass on."""

import secrets
import threading
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.forwarding import envelope
from redwingscale_daemon._internal.forwarding.request_handler import RequestHandler
from redwingscale_daemon._internal.ingress.ingress_request import IngressRequest
from redwingscale_daemon._internal.ingress.ingress_server import IngressServer
from redwingscale_daemon._internal.ingress.reply import Reply
from redwingscale_daemon._internal.lifecycle.stop_rule import STOPPING

TOKEN_BYTES = 16
# The sender tries another instance.
_DECLINED = 503

MakeServer = Callable[["PeerPort"], IngressServer]


class Offer(NamedTuple):
    """Where other instances send requests, and the token that they need."""

    port: int
    token: str


class PeerPort:
    """A port that is opened when a peer first asks for it.

    Only a request with the token that peers have received is taken; all else is checked as
    for any caller. What another instance has passed on is not passed on again.
    """

    def __init__(
        self,
        handler: RequestHandler,
        make_server: MakeServer,
        may_take: Callable[[], bool],
    ) -> None:
        self._handler = handler
        self._make_server = make_server
        self._may_take = may_take
        self._lock = threading.Lock()
        self._server: IngressServer | None = None
        self._stopped = False
        self._token = secrets.token_hex(TOKEN_BYTES)

    def offer(self) -> Offer | None:
        """Return where requests are taken, None if the port cannot be opened."""
        with self._lock:
            if self._server is None and not self._stopped:
                server = self._make_server(self)
                try:
                    server.start()
                except OSError as error:
                    log_event("peer_port_not_opened", level="WARNING", error=error)
                    return None
                self._server = server
                log_event("peer_port_opened", port=server.port)
        return None if self._server is None else Offer(self._server.port, self._token)

    @property
    def takes_requests(self) -> bool:
        """Whether a request that arrives now is taken, not declined."""
        server = self._server
        return self._may_take() and server is not None and not server.crowded

    def claim(self, passing: str) -> int:
        """Return how many upstreams may run a passed-on request, and let no further one run it."""
        return self._handler.claim(passing)

    def stop(self, timeout_seconds: float = 1.0) -> None:
        """Close the port, and end all requests in ``timeout_seconds``."""
        with self._lock:
            self._stopped = True
            server = self._server
        if server is not None:
            server.stop(timeout_seconds)

    def screen(self, head: IngressRequest, reply: Reply) -> bool:
        """Refuse a request that no peer has sent, before its body is read.

        Returns whether it was refused.
        """
        stripped, carried = envelope.take(head)
        if carried is not None and carried.is_from_a_peer(self._token):
            if self.takes_requests:
                return self._handler.screen(stripped, reply)
            reply.leave_body_unread()
            self._decline(reply)
            return True
        log_event("passed_on_without_token", level="WARNING", target=head.path)
        reply.leave_body_unread()
        reply.send(403, (), Refusal(403, "no_peer", "no valid token").document())
        return True

    def handle(self, request: IngressRequest, reply: Reply) -> None:
        """Serve a request of a peer; raises `CallerLeft` if the peer gives it up."""
        stripped, carried = envelope.take(request)
        assert carried is not None, "requests without an envelope are screened out"
        if not self.takes_requests:
            self._decline(reply)
            return
        self._handler.handle(stripped, reply, carried)

    @staticmethod
    def _decline(reply: Reply) -> None:
        reply.send(_DECLINED, ((envelope.DECLINED_HEADER, "1"),), b"")

    def refuse_unread(self, head: IngressRequest, reply: Reply, refusal: Refusal) -> None:
        """Refuse a request whose body was not read whole; raises `CallerLeft`.

        One that came too late in a stop is declined.
        """
        if refusal.code == STOPPING:
            self._decline(reply)
            return
        self._handler.refuse_unread(envelope.take(head)[0], reply, refusal)
