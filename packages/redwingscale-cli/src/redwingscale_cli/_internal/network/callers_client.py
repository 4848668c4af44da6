"""Sends streamed requests as a caller and measures the responses."""

import time

import msgspec
import urllib3
from redwingscale_common.network.client import new_pool, read_pieces, timeout

from redwingscale_cli._internal.models.load_plan import Arrival, LoadPlan
from redwingscale_cli._internal.models.load_result import RequestResult

CONNECT_SECONDS = 3.0
TOKEN_EVENT = b"id: "
DONE_EVENT = b"data: [DONE]"
EVENT_END = b"\n\n"
OK = 200


class CallersClient:
    """Client of the callers' HTTP API of all instances, with one connection pool."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._pool = new_pool(connections=1024)
        self._headers = {
            "Authorization": f"Bearer {plan.token}",
            "X-Deadline-Seconds": str(plan.deadline_seconds),
        }

    def send(self, arrival: Arrival) -> RequestResult:
        """Send the request of ``arrival`` and read the response to its end."""
        started = time.monotonic()
        body = {
            "model": arrival.model,
            "prompt": arrival.prompt,
            "max_tokens": self._plan.max_tokens,
            "stream": True,
        }
        try:
            response = self._pool.request(
                "POST",
                f"{arrival.url}/v1/completions",
                body=msgspec.json.encode(body),
                headers=self._headers,
                timeout=timeout(CONNECT_SECONDS, self._plan.deadline_seconds * 2),
                preload_content=False,
            )
            if response.status != OK:
                return _refused_result(response.data, started)
            return self._read(response, started)
        except urllib3.exceptions.HTTPError:
            return RequestResult("cut", 0.0, (), time.monotonic() - started, False)

    def _read(self, response: urllib3.BaseHTTPResponse, started: float) -> RequestResult:
        times: list[float] = []
        complete = False
        buffer = b""
        for piece in read_pieces(response):
            buffer += piece
            *events, buffer = buffer.split(EVENT_END)
            now = time.monotonic()
            times += [now for event in events if event.startswith(TOKEN_EVENT)]
            complete = complete or any(event.startswith(DONE_EVENT) for event in events)
        response.release_conn()
        total = time.monotonic() - started
        tokens = times[:-1]
        return RequestResult(
            outcome="whole" if complete else "cut",
            first_token_seconds=tokens[0] - started if tokens else 0.0,
            gaps_seconds=tuple(b - a for a, b in zip(tokens, tokens[1:], strict=False)),
            total_seconds=total,
            in_time=complete and total <= self._plan.deadline_seconds,
        )


def _refused_result(body: bytes, started: float) -> RequestResult:
    try:
        code = msgspec.json.decode(body)["type"].rsplit(":", 1)[-1]
    except (msgspec.DecodeError, KeyError, TypeError):
        code = "no_problem_document"
    return RequestResult(code, 0.0, (), time.monotonic() - started, False)
