"""Callers that open connections early, send late on them, and use them until they are closed."""

import contextlib
import random
import socket
import threading
import time

from redwingscale_standins.hosted.late_caller import LateAnswer, Part, send_parts, split_request
from redwingscale_standins.hosted.waiting import WAIT_SECONDS
from redwingscale_standins.soak.ledger import RequestResult
from redwingscale_standins.soak.soak_worker import SLOW_MARK
from redwingscale_standins.soak.world import PLAIN_LIMIT_SECONDS, STEADY_KEY, Node, World

LONGEST_LATE_SECONDS = 8.0
# A plain request whose head is sent at once is still to run for over a second within its limit.
LONGEST_LATE_BODY_SECONDS = 2.5
# A request that is begun while its instance stops is sent whole at that part of the grace.
STOP_GRACE = (0.5, 0.95)
STREAM_LIMIT_SECONDS = 14.0
EVENTS = (40, 80)
# Of a body: how it is encoded, and in how many parts it is sent late.
CHUNK_BYTES = (None, 100, 1000)
MOST_PARTS = 5
RETRY_SECONDS = 0.1
KINDS = ("stream", "once", "safe")
PATHS = {"stream": "/live/x", "once": "/once/", "safe": "/safe/"}
# How many of the two halves of the head are sent at once; with 3 the whole request is.
SENT_EARLY = (0, 1, 2, 3)


class LateCaller(threading.Thread):
    """Uses one instance, also while it stops; each request is sent in parts."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(name=f"late-caller-{number}", daemon=True)
        self._world = world
        self._number = number
        self._node: Node = world.nodes[number % len(world.nodes)]
        self._random = random.Random(f"late {world.seed} {number}")
        self._sent_count = 0
        self._open: socket.socket | None = None
        self.stopped = False

    def stop(self) -> None:
        """Stop at once; the caller of a request that is open leaves."""
        self.stopped = True
        if (sock := self._open) is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def run(self) -> None:
        """Send until stopped."""
        while not self.stopped:
            process = self._node.process.process.pid
            try:
                address = ("127.0.0.1", self._node.process.ports[0])
                sock = socket.create_connection(address, WAIT_SECONDS)
            except (OSError, IndexError):
                time.sleep(RETRY_SECONDS)
                continue
            self._open = sock
            with contextlib.closing(sock):
                while not self.stopped and self._send(sock, process):
                    pass
            time.sleep(RETRY_SECONDS)

    def _send(self, sock: socket.socket, process: int) -> bool:
        """Send one request; return whether the connection may bring the next one."""
        self._sent_count += 1
        request = f"dd{self._number:02x}{self._sent_count:08x}"
        kind = self._random.choice(KINDS)
        path = PATHS[kind] + ("" if kind == "stream" else request)
        events = self._random.randint(*EVENTS) if kind == "stream" else 0
        limit_seconds = STREAM_LIMIT_SECONDS if events else PLAIN_LIMIT_SECONDS
        body = SLOW_MARK + b" " + request.encode() * self._random.randint(1, 200)
        pieces = split_request(
            request,
            path,
            events=events,
            body=body,
            limit_ms=int(limit_seconds * 1000),
            key=STEADY_KEY,
            chunk_bytes=self._random.choice(CHUNK_BYTES),
        )
        answer = send_parts(sock, request, self._parts(pieces, kind, process))
        if answer.first_at is not None:
            result = self._result(answer, kind, path, body, limit_seconds, process)
            self._world.ledger.late_results.append(result)
            self._check(answer, events, body)
        return answer.kept

    def _parts(self, pieces: tuple[bytes, bytes, bytes], kind: str, process: int) -> list[Part]:
        """Return a part that is sent at once, if one is, and those that are sent late."""
        now = time.monotonic()
        early = self._random.choice(SENT_EARLY)
        parts = [Part(now, b"".join(pieces[:early]))] if early else []
        late = b"".join(pieces[early:])
        if late:
            count = self._random.randint(1, MOST_PARTS) if early == len(pieces) - 1 else 1
            size = -(-len(late) // count)
            data = [late[at : at + size] for at in range(0, len(late), size)]
            longest = self._longest_delay(now, process)
            if kind != "stream" and early:
                longest = min(longest, LONGEST_LATE_BODY_SECONDS)
            delays = [self._random.uniform(0.0, longest) for _ in data[1:]] + [longest]
            delays.sort()
            parts += [Part(now + delay, one) for delay, one in zip(delays, data, strict=True)]
        return parts

    def _longest_delay(self, now: float, process: int) -> float:
        stops = (stop for stop in self._world.ledger.stops if stop.process == process)
        if (stop := next(stops, None)) is None:
            return self._random.uniform(0.0, LONGEST_LATE_SECONDS)
        part = self._random.uniform(*STOP_GRACE)
        return max(0.0, stop.signalled_at + stop.grace_seconds * part - now)

    def _result(
        self,
        answer: LateAnswer,
        kind: str,
        path: str,
        body: bytes,
        limit_seconds: float,
        process: int,
    ) -> RequestResult:
        return RequestResult(
            request=answer.request,
            kind=kind,
            path=path,
            body=body,
            instance=self._node.name,
            status=answer.status,
            sent_at=answer.first_at or answer.ended_at,
            ended_at=answer.ended_at,
            disconnected=self.stopped,
            undisturbed_since=self._node.disturbance.last_at,
            process=process,
            complete=answer.whole,
            limit_seconds=limit_seconds,
            stall_seconds=0.0,
            last_byte_at=answer.sent_at,
            calm_since=self._world.calm_since(),
        )

    def _check(self, answer: LateAnswer, events: int, body: bytes) -> None:
        context = f"late request {answer.request} at {self._node.name}"
        add_finding = self._world.ledger.add_finding
        if answer.status == 503 and not answer.retry_after:
            add_finding("refused", f"{context}: 503 without Retry-After")
        if answer.status != 200 or not answer.whole:
            return
        if events:
            lines = answer.body.decode().splitlines()
            numbers = [int(line[4:]) for line in lines if line.startswith("id: ")]
            if numbers != [*range(1, events + 1)]:
                add_finding("order", f"{context}: {numbers} of {events} events")
        elif answer.body != answer.request.encode() + b":" + body:
            add_finding("mixed", f"{context}: {len(answer.body)} bytes that are not its response")
