"""Serves readiness to the balancer and metrics to the operators."""

from collections.abc import Callable

from redwingscale_daemon._internal.ingress.ingress_request import IngressRequest
from redwingscale_daemon._internal.ingress.reply import Reply

_TEXT = (("Content-Type", "text/plain; charset=utf-8"),)


class ReadinessApp:
    """Answers 200 on ``path`` while ``reason`` returns an empty text, else 503."""

    def __init__(self, path: str, reason: Callable[[], str]) -> None:
        self._path = path
        self._reason = reason

    def handle(self, request: IngressRequest, reply: Reply) -> None:
        """Answer one probe; the body gives the reason if the instance is not ready."""
        if request.path != self._path:
            reply.send(404, _TEXT, b"not found\n")
            return
        reason = self._reason()
        reply.send(503 if reason else 200, _TEXT, (reason or "ready").encode() + b"\n")


class MetricsApp:
    """Serves the metrics page."""

    def __init__(self, page: Callable[[], bytes]) -> None:
        self._page = page

    def handle(self, request: IngressRequest, reply: Reply) -> None:
        """Answer with the page on every path."""
        reply.send(200, _TEXT, self._page())
