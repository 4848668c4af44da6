"""HTTP client for the reports of model workers and the orders to them."""

import http.client
import time
from collections.abc import Callable
from contextlib import closing
from typing import NamedTuple

import msgspec
import urllib3
from urllib3 import BaseHTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

from redwingscale_daemon._internal.fleet.backpressure import Backpressure
from redwingscale_daemon._internal.fleet.own_path import OwnPath
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.dialect import HeaderValues
from redwingscale_daemon._internal.swaps.engine_report import EngineReport
from redwingscale_daemon._internal.swaps.order import Order, OrderResult
from redwingscale_daemon._internal.utils.bounded_answers import (
    ShortAnswerPool,
    ShortAnswerPools,
    log_answer_broken,
)
from redwingscale_daemon._internal.utils.sockets import RESET_ON_CLOSE

CONNECT_TIMEOUT_SECONDS = 0.5
# A worker answers within a few milliseconds or, if the answer is lost, never.
RESPONSE_TIMEOUT_SECONDS = 0.6
# An order that has no answer after this time, connecting included, is given up with a reset: it
# arrives within this time or never.
ORDER_CALL_SECONDS = 0.6
_OK = 200
_SOCKET_OPTIONS = [*HTTPConnection.default_socket_options, RESET_ON_CLOSE]


class EngineCalls(NamedTuple):
    """The encoding of the calls on a platform."""

    report_target: str
    order_target: str
    decode_report: Callable[[bytes], EngineReport]
    encode_order: Callable[[Order], bytes]
    order_headers: Callable[[str], dict[str, str]]
    order_result: Callable[[int], OrderResult]
    read_backpressure: Callable[[int, HeaderValues], Backpressure] = lambda *_: Backpressure()


class OrderClient:
    """Sends each call once: questions on persistent connections, each order on a new one.

    Answers to calls name no request. On a persistent connection, a late copy of an earlier answer
    would be taken for that of an order, and an adapter for unloaded that is still resident.

    A connection without an answer is reset rather than closed: an order delayed by a network cut
    would otherwise be delivered when the cut ends, seconds after the first order of another
    leader. A reset drops the sender's buffer. A lost packet is sent again until then, so that a
    successor has to wait ``ORDER_CALL_SECONDS`` for an order that was sent in time.
    """

    def __init__(
        self,
        calls: EngineCalls,
        on_result: Callable[[OrderResult], None] = lambda _: None,
        on_backpressure: Callable[[str, Backpressure], None] = lambda *_: None,
        path: OwnPath | None = None,
        *,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        response_timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> None:
        self._calls = calls
        self._on_result = on_result
        # Called with an upstream id and the backpressure in the upstream's answer.
        self._on_backpressure = on_backpressure
        self._path = path or OwnPath()
        # The upstreams whose latest call broke off.
        self._broken: set[str] = set()
        self._order_timeout = urllib3.Timeout(
            total=ORDER_CALL_SECONDS,
            connect=connect_timeout_seconds,
            read=response_timeout_seconds,
        )
        self._pools = ShortAnswerPools(
            num_pools=64,
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(connect=connect_timeout_seconds, read=response_timeout_seconds),
            socket_options=_SOCKET_OPTIONS,
        )

    def report(self, upstream: Upstream) -> EngineReport | None:
        """Return the worker's report, None without a valid answer."""
        began_at = time.monotonic()
        try:
            response = self._pools.request("GET", _url(upstream, self._calls.report_target))
            self._note_backpressure(upstream, response)
            if response.status != _OK:
                return None
            return self._calls.decode_report(response.data)
        except HTTPError as error:
            self._note_failed(upstream, error, began_at)
            return None
        except msgspec.DecodeError as error:
            log_answer_broken(upstream.id, error)
            return None

    def order(self, upstream: Upstream, order: Order) -> OrderResult:
        """Send ``order``; return `OrderResult.UNKNOWN` if it may be carried out or not."""
        result = self._send(upstream, order)
        self._on_result(result)
        return result

    def _send(self, upstream: Upstream, order: Order) -> OrderResult:
        began_at = time.monotonic()
        try:
            with closing(self._connect(upstream)) as connection:
                response = connection.request(
                    "POST",
                    self._calls.order_target,
                    body=self._calls.encode_order(order),
                    headers=self._calls.order_headers(upstream.platform_name),
                )
        except (NewConnectionError, ConnectTimeoutError) as error:
            self._note_failed(upstream, error, began_at)
            return OrderResult.REFUSED
        except HTTPError as error:
            self._note_failed(upstream, error, began_at)
            return OrderResult.UNKNOWN
        self._note_backpressure(upstream, response)
        return self._calls.order_result(response.status)

    def _connect(self, upstream: Upstream) -> ShortAnswerPool:
        return ShortAnswerPool(
            upstream.host,
            upstream.port,
            maxsize=1,
            retries=False,
            timeout=self._order_timeout,
            socket_options=_SOCKET_OPTIONS,
        )

    def _note_failed(self, upstream: Upstream, error: HTTPError, began_at: float) -> None:
        if _brought_bytes(error):
            # The upstream is faulty, and the path to it works.
            log_answer_broken(upstream.id, error)
            return
        # An upstream may close a connection that was idle, but not the next one as well.
        again = upstream.id in self._broken
        if isinstance(error, ProtocolError):
            self._broken.add(upstream.id)
        if again or not isinstance(error, ProtocolError):
            self._path.note_failed(
                upstream.id,
                "no answer to a call",
                began_at,
                silent=isinstance(error, ReadTimeoutError),
                refused=isinstance(error, ProtocolError)
                or isinstance(error.__cause__, ConnectionRefusedError),
            )

    def _note_backpressure(self, upstream: Upstream, response: BaseHTTPResponse) -> None:
        self._path.note_heard(upstream.id)
        self._broken.discard(upstream.id)
        backpressure = self._calls.read_backpressure(response.status, response.headers)
        self._on_backpressure(upstream.id, backpressure)


def _brought_bytes(error: HTTPError) -> bool:
    """Return whether the call ended by bytes that are no answer, or an answer without an end."""
    cause = error.args[-1] if isinstance(error, ProtocolError) else None
    return isinstance(cause, http.client.HTTPException) and not isinstance(
        cause, (http.client.RemoteDisconnected, http.client.IncompleteRead)
    )


def _url(upstream: Upstream, target: str) -> str:
    return f"http://{upstream.host}:{upstream.port}{target}"
