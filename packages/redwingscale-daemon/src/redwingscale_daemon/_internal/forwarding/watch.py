"""Waits for bytes of an upstream while checking the caller and the deadline."""

import math
import select
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

from redwingscale_daemon._internal.exceptions import (
    CallerLeft,
    FirstUpstreamResumed,
    NotSentInTime,
    ProcessEnds,
    ResumedBeforeSending,
    TimeLimitReached,
    UpstreamSilent,
)
from redwingscale_daemon._internal.fleet.own_path import OVERDUE_SECONDS
from redwingscale_daemon._internal.forwarding.standby import Standby
from redwingscale_daemon._internal.ingress.connection_state import ConnectionState
from redwingscale_daemon._internal.ingress.reply import Reply
from redwingscale_daemon._internal.leases.clock import lease_clock

_CLOSED_EVENTS = select.POLLHUP | select.POLLERR | select.POLLRDHUP
_UPSTREAM_EVENTS = select.POLLIN | select.POLLHUP | select.POLLERR
_MILLISECONDS_PER_SECOND = 1000.0
# How often a wait that is overdue is reported again.
_OVERDUE_AGAIN_SECONDS = 0.4
# How often a wait for room asks again: other requests free it without notice.
_ROOM_CHECK_SECONDS = 0.25


class Watch:
    """Bounds every wait of one request.

    Each wait polls both sockets: a thread that only reads the upstream would not notice
    that the caller has disconnected, and the upstream would go on working for nobody.
    ``deadline`` is on `lease_clock`: an instance that was suspended must not serve a
    request whose caller gave up meanwhile. ``silence_seconds`` is the longest wait for a
    byte, None for no bound; it does not include suspended time, in which nothing is read.
    Each wait also sends what the caller has not yet taken of ``reply``.
    """

    def __init__(
        self,
        caller: socket.socket,
        deadline: float,
        reply: Reply | None = None,
        connection: ConnectionState | None = None,
    ) -> None:
        self._caller = caller
        self._connection = connection or ConnectionState()
        self._caller_events = select.POLLIN | select.POLLRDHUP
        self._reply = reply
        self.deadline = deadline
        self.silence_seconds: float | None = None
        # Called with the silent socket after `silence_seconds`; returns the seconds after which
        # to call it again, or raises to give up the connection. None gives it up at once.
        self.on_silent: Callable[[socket.socket], float] | None = None
        # Called with the monotonic time at which a wait for a byte began while it is overdue;
        # returns whether the path to the upstream is lost.
        self.on_overdue: Callable[[float], bool] | None = None
        # Raises what keeps the request from being sent; called right before each sending.
        self.before_sending: Callable[[], None] = lambda: None
        # Raises if the request can no longer end before the process; called before each sending,
        # and during waits for one.
        self.check_stop: Callable[[], None] = lambda: None
        # A silent connection that is kept open while another one is waited for.
        self._standby: Standby | None = None

    def remaining(self) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline - lease_clock())

    def check_caller(self) -> None:
        """Raise `CallerLeft` if the caller has closed its connection, or what `check_stop` raises.

        Called before a request is sent, and while it waits to be sent.
        """
        self._poll_caller(0.0)
        self.check_stop()

    def check_before_sending(self) -> None:
        """Raise `CallerLeft` or `NotSentInTime` if the request must not be sent any more.

        Called right before each send to an upstream or a peer: the instance may have been
        suspended since it was chosen. Raises what `before_sending` raises as well.
        """
        if lease_clock() >= self.deadline:
            raise NotSentInTime("no time is left")
        self.check_caller()
        self.before_sending()

    def expect(
        self,
        silence_seconds: float | None,
        on_silent: Callable[[socket.socket], float] | None = None,
        on_overdue: Callable[[float], bool] | None = None,
    ) -> None:
        """Set what later waits for a byte do about silence."""
        self.silence_seconds = silence_seconds
        self.on_silent, self.on_overdue = on_silent, on_overdue

    @contextmanager
    def standing_by(self, first: socket.socket, *, in_body: bool = False) -> Iterator[None]:
        """Let waits in the block raise `FirstUpstreamResumed` once ``first`` goes on.

        ``in_body`` as for `Standby`.
        """
        expected = self.silence_seconds, self.on_silent, self.on_overdue
        before, self._standby = self._standby, Standby(first, in_body=in_body)
        try:
            yield
        finally:
            self._standby = before
            self.expect(*expected)

    def wait_until_readable(self, upstream: socket.socket, count: int = 0) -> None:
        """Block until ``upstream`` has bytes or is closed, and ``count`` of them may be held.

        Raises `CallerLeft`, `TimeLimitReached` at the deadline, `UpstreamSilent` after
        ``silence_seconds`` without a byte, `FirstUpstreamResumed`, and what `on_silent` raises.
        """
        began = time.monotonic()
        silent_at = began + (self.silence_seconds or math.inf)
        overdue_at = began + OVERDUE_SECONDS if self.on_overdue else math.inf
        poller = self._poller(upstream)
        while True:
            time_left = self.deadline - lease_clock()
            if time_left <= 0:
                raise TimeLimitReached("no time is left")
            # The silence is judged after a poll: bytes may have come while this thread had no
            # processor time.
            look_at = self._standby.look_at if self._standby is not None else math.inf
            wait = max(0.0, min(time_left, min(silent_at, overdue_at, look_at) - time.monotonic()))
            ready = dict(poller.poll(wait * _MILLISECONDS_PER_SECOND + 1))
            if (events := ready.get(self._caller.fileno())) is not None:
                self._serve_caller(events)
                poller.modify(self._caller, self._polled_events())
            if upstream.fileno() in ready:
                break
            if self._standby is not None and self._standby.is_due(ready):
                self._standby.look()
                poller = self._poller(upstream)
            now = time.monotonic()
            if now >= overdue_at:
                if self.on_overdue is not None and self.on_overdue(began):
                    silent_at = self._note_silence(upstream, "the path to upstreams is lost")
                    poller = self._poller(upstream)
                overdue_at = now + _OVERDUE_AGAIN_SECONDS
            elif now >= silent_at:
                reason = f"no byte for {self.silence_seconds} s, woke {now - silent_at:.3f} s late"
                silent_at = self._note_silence(upstream, reason)
                poller = self._poller(upstream)
        # While two upstreams run the stream, its next event is read without room: the other run
        # would last for as long as the caller reads nothing.
        if self._reply is not None and self._standby is None:
            self._wait_for_room(self._reply, count)

    def wait_until_connected(self, upstream: socket.socket, seconds: float) -> bool:
        """Block until ``upstream`` has connected or failed to; return False after ``seconds``.

        Raises `CallerLeft`, `NotSentInTime` at the deadline, and `ResumedBeforeSending`.
        """
        until = time.monotonic() + seconds
        while True:
            if (time_left := self.deadline - lease_clock()) <= 0:
                raise NotSentInTime("no time is left")
            wait = max(0.0, until - time.monotonic())
            look_at = self._standby.look_at if self._standby is not None else math.inf
            polled = max(0.0, min(wait, time_left, look_at - time.monotonic()))
            poller = self._poller(upstream, select.POLLOUT)
            ready = dict(poller.poll(polled * _MILLISECONDS_PER_SECOND + 1))
            if (events := ready.get(self._caller.fileno())) is not None:
                self._serve_caller(events)
            if upstream.fileno() in ready:
                return True
            if self._standby is not None and self._standby.is_due(ready):
                self._look_before_sending(self._standby)
            # Judged after a poll: it may have connected while this thread had no processor time.
            if not wait:
                return False

    @staticmethod
    def _look_before_sending(standby: Standby) -> None:
        try:
            standby.look()
        except FirstUpstreamResumed as error:
            raise ResumedBeforeSending(str(error)) from None

    def wait_until_written(self) -> None:
        """Block until the caller has taken the whole reply; raises `TimeLimitReached`, `CallerLeft`.

        Returns once this process has ended the connection, which then sends what is left.
        """
        with suppress(ProcessEnds):
            while self._reply is not None and self._reply.unwritten:
                self._poll_caller(self._time_left(self._reply))

    def _wait_for_room(self, reply: Reply, count: int) -> None:
        # The upstream has bytes, so this is no silence of it.
        while not reply.take_room(count):
            self._poll_caller(min(self._time_left(reply), _ROOM_CHECK_SECONDS))

    def _time_left(self, reply: Reply) -> float:
        time_left = self.deadline - lease_clock()
        if time_left <= 0:
            raise TimeLimitReached(f"the caller has not taken {reply.unwritten} bytes")
        return time_left

    def _poll_caller(self, seconds: float) -> None:
        poller = select.poll()
        poller.register(self._caller, self._polled_events())
        for _, events in poller.poll(seconds and seconds * _MILLISECONDS_PER_SECOND + 1):
            self._serve_caller(events)

    def _polled_events(self) -> int:
        if self._reply is not None and self._reply.unwritten:
            return self._caller_events | select.POLLOUT
        return self._caller_events

    def _serve_caller(self, events: int) -> None:
        if events & select.POLLOUT and self._reply is not None:
            self._reply.send_unwritten()
        if events & ~select.POLLOUT:
            self._check_caller_events(events)

    def _poller(self, upstream: socket.socket, events: int = _UPSTREAM_EVENTS) -> select.poll:
        poller = select.poll()
        poller.register(upstream, events)
        poller.register(self._caller, self._polled_events())
        if self._standby is not None:
            self._standby.register(poller)
        return poller

    def _note_silence(self, upstream: socket.socket, reason: str) -> float:
        """Return the monotonic time at which to do so again; raises `UpstreamSilent`."""
        if self.on_silent is None:
            raise UpstreamSilent(reason)
        pause = self.on_silent(upstream)
        return time.monotonic() + pause

    def _check_caller_events(self, events: int) -> None:
        if events & _CLOSED_EVENTS or not self._caller.recv(
            1, socket.MSG_PEEK | socket.MSG_DONTWAIT
        ):
            if self._connection.ended:
                raise ProcessEnds("this process ends the connection")
            raise CallerLeft("the caller closed the connection")
        # The caller has already sent its next request. Its bytes stay readable, so from
        # here on only the close of the connection is polled.
        self._caller_events = select.POLLRDHUP
