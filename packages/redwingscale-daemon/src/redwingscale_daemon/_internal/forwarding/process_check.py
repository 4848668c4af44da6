"""Finds out which process listens at an upstream's address after connections to it broke."""

import http.client
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from contextlib import closing

from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.utils.bounded_answers import (
    ShortAnswerConnection,
    log_answer_broken,
)

# A process answers within a few milliseconds. Requests wait this long at most, twice: for the
# connection and for the answer.
ANSWER_SECONDS = 0.2
# While upstreams are being replaced, one that was heard this lately is not asked.
HEARD_SECONDS = 0.5
# An upstream that has not answered is not asked again for this long: requests would wait for
# the answer one after another.
UNANSWERED_SECONDS = 1.0


class ProcessCheck:
    """Asks an upstream for its name before a request on a new connection.

    That is done after a connection to it broke, and while upstreams are being replaced. A
    restarted upstream is listed under its former id for some seconds. Without the check, each
    instance would learn of it by requests that the new process refuses, and each of these
    counts as an arrival.
    """

    def __init__(
        self,
        target: str = "",
        read_name: Callable[[http.client.HTTPResponse], str | None] = lambda _: None,
        may_ask: Callable[[str], bool] = lambda upstream_id: bool(upstream_id),
        lately_replaced: Callable[[], bool] = lambda: False,
    ) -> None:
        self._target = target
        self._read_name = read_name
        # Returns whether one more call may be sent to an upstream.
        self._may_ask = may_ask
        # Returns whether any upstream was replaced lately, as others may be next.
        self._lately_replaced = lately_replaced
        self._lock = threading.Lock()
        # When connections to them broke last, of upstreams not heard on a newer one since.
        self._broken_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        # When they were asked last, and did not answer.
        self._unanswered_at: dict[str, float] = {}
        self._asking: dict[str, threading.Lock] = defaultdict(threading.Lock)
        # Upstreams at whose address another process was found.
        self._replaced: set[str] = set()

    def note_broken(self, upstream_id: str) -> None:
        """Note that a connection was closed by the upstream's end or refused."""
        with self._lock:
            self._broken_at[upstream_id] = time.monotonic()

    def note_heard(self, upstream_id: str, opened_at: float) -> None:
        """Note an answer of the upstream on a connection opened at ``opened_at`` (monotonic)."""
        self._heard_at[upstream_id] = time.monotonic()
        if upstream_id not in self._broken_at:
            return
        with self._lock:
            if self._broken_at.get(upstream_id, opened_at) < opened_at:
                self._broken_at.pop(upstream_id, None)

    def finds_another(self, upstream: Upstream) -> bool:
        """Return whether another process listens at the address of ``upstream``.

        Returns False without asking while nothing speaks for it, and if nothing answers.
        """
        if not (self._target and self._in_doubt(upstream.id)):
            return False
        with self._lock:
            asking = self._asking[upstream.id]
        with asking:
            if upstream.id in self._replaced:
                return True
            if not (self._in_doubt(upstream.id) and self._may_ask(upstream.id)):
                return False
            began_at = time.monotonic()
            name = self._ask(upstream)
            if name == upstream.platform_name:
                self.note_heard(upstream.id, began_at)
            elif name is None:
                self._unanswered_at[upstream.id] = time.monotonic()
            else:
                self._replaced.add(upstream.id)
            return upstream.id in self._replaced

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are no longer listed."""
        with self._lock:
            for key in upstream_ids:
                self._broken_at.pop(key, None)
                self._asking.pop(key, None)
                self._replaced.discard(key)
                self._heard_at.pop(key, None)
                self._unanswered_at.pop(key, None)

    def _in_doubt(self, upstream_id: str) -> bool:
        unanswered_at = self._unanswered_at.get(upstream_id, float("-inf"))
        if time.monotonic() < unanswered_at + UNANSWERED_SECONDS:
            return False
        if upstream_id in self._broken_at or upstream_id in self._replaced:
            return True
        heard_at = self._heard_at.get(upstream_id, float("-inf"))
        return self._lately_replaced() and time.monotonic() > heard_at + HEARD_SECONDS

    def _ask(self, upstream: Upstream) -> str | None:
        connection = ShortAnswerConnection(upstream.host, upstream.port, timeout=ANSWER_SECONDS)
        with closing(connection):
            try:
                connection.request("GET", self._target, headers={"Connection": "close"})
                response = connection.getresponse()
                response.read()
            except OSError:
                return None
            except http.client.HTTPException as error:
                log_answer_broken(upstream.id, error)
                return None
            return self._read_name(response)
