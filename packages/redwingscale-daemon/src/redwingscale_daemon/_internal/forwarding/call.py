"""One request in flight, with everything that is decided before it is sent."""

import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.forwarding import envelope
from redwingscale_daemon._internal.forwarding.attempts import Attempts
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.forwarding.watch import Watch
from redwingscale_daemon._internal.ingress.ingress_request import Headers, IngressRequest
from redwingscale_daemon._internal.ingress.reply import Reply
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route
from redwingscale_daemon._internal.routes.urgency import Urgency
from redwingscale_daemon._internal.workspaces.request_permit import Permit


class Call(NamedTuple):
    """A caller's request, its route and service, and the reply to write to.

    ``headers`` are those sent to every upstream. In ``urgency``, 0 is the most urgent
    rank, and a workspace's rank takes precedence over its route's.
    """

    request: IngressRequest
    terms: Terms
    route: Route
    service: str
    headers: Headers
    watch: Watch
    reply: Reply
    attempts: Attempts
    permit: Permit
    urgency: Urgency
    # Notes the version that begins the stream, and whether to tell the other instances.
    on_begun: Callable[[str, bool], None] = lambda software, tell: None

    def note_begun(self, software: str | None, *, tell: bool = True) -> None:
        """Bind the stream to the version that writes the first event for its caller.

        ``tell`` is False if another instance serves it and has told the others.
        """
        if self.route.idempotency is not Idempotency.STREAM or self.attempts.binding.begun:
            return
        self.attempts.binding.bind(software)
        if software is not None:
            self.on_begun(software, tell)

    def answer_headers(self, headers: Headers, software: str | None) -> Headers:
        """Return the headers of an answer, with the version for an instance that passed it on."""
        if not self.attempts.taken_over or software is None:
            return headers
        return (*headers, envelope.software_header(software))

    def note_read(self, pending_bytes: int) -> None:
        """Note a read of an upstream, of which ``pending_bytes`` are not yet written."""
        self.attempts.last_read_at = time.monotonic()
        self.request.held.set_answer(pending_bytes)
