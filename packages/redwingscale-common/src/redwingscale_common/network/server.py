"""An HTTP server: a CherryPy application on CherryPy's own WSGI server."""

import threading
from typing import NamedTuple

import cherrypy
import msgspec

from redwingscale_common.network.accepting import AcceptingWsgiServer
from redwingscale_common.network.bounded import PROBLEM_TYPE, BoundedConnection

SHUTDOWN_SECONDS = 2
MIN_SERVER_ERROR_STATUS = 500
MAX_HEAD_BYTES = 64 << 10


class ServerLimits(NamedTuple):
    """Limits of one port: worker threads, queued connections, time to receive a request."""

    threads: int = 32
    backlog: int = 1024
    timeout_seconds: int = 10


class HttpServer:
    """Serves ``handler`` on a TCP port; port 0 selects a free one.

    The application runs without CherryPy's process bus, whose autoreloader and restart on
    SIGHUP start a new process: an instance must not do that.
    """

    def __init__(self, handler: object, host: str, port: int, limits: ServerLimits) -> None:
        application = cherrypy.Application(handler, "", {"/": _APPLICATION_CONFIG})
        application.log.screen = False
        application.log.error_log.propagate = False
        # CherryPy formats an access log line for each request even without a log handler,
        # which takes 5% of the processor time of a short request.
        application.log.access = _no_access_log
        self._server = AcceptingWsgiServer(
            (host, port),
            application,
            numthreads=limits.threads,
            request_queue_size=limits.backlog,
            timeout=limits.timeout_seconds,
            accepted_queue_size=limits.backlog,
            accepted_queue_timeout=1,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        self._server.max_request_header_size = MAX_HEAD_BYTES
        self._server.ConnectionClass = BoundedConnection
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)

    def start(self) -> None:
        """Bind the port and start to serve; raise `OSError` if the address is in use."""
        self._server.prepare()
        self._thread.start()

    @property
    def port(self) -> int:
        """The port in use, also if 0 was requested."""
        return int(self._server.bind_addr[1])

    def stop(self) -> None:
        """Stop accepting connections; open responses may complete for ``SHUTDOWN_SECONDS``."""
        self._server.stop()


def _no_access_log() -> None:
    """Replaces CherryPy's access log; the handlers log their own events."""


def _error_page(status: str, message: str, **_: str) -> bytes:
    """Return the problem document for a request that no handler answered.

    An unexpected exception may occur after the request was forwarded, so ``run`` is
    ``unknown`` then.
    """
    code = int(status[:3])
    cherrypy.response.headers["Content-Type"] = PROBLEM_TYPE
    unexpected = code >= MIN_SERVER_ERROR_STATUS
    return msgspec.json.encode(
        {
            "type": "about:blank",
            "title": status[4:],
            "status": code,
            "detail": "" if unexpected else message,
            "run": "unknown" if unexpected else "not_run",
        }
    )


_APPLICATION_CONFIG = {
    "error_page.default": _error_page,
    "request.show_tracebacks": False,
    "request.process_request_body": False,
    "tools.trailing_slash.on": False,
    "tools.encode.on": False,
    "checker.on": False,
}
