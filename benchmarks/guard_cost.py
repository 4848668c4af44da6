"""What the guard against crashes costs a request: ``python -m benchmarks.guard_cost``.

Prints microseconds a request for bodies of two sizes: while nothing is suspect, and while
another request is quarantined.
"""

import socket
import time

import typer
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_ends import UpstreamEnds
from redwingscale_daemon._internal.forwarding.attempts import Attempts
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.crash_guard import CrashGuard
from redwingscale_daemon._internal.forwarding.repeat_budget import BudgetRule, RepeatBudget
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.forwarding.watch import Watch
from redwingscale_daemon._internal.ingress.byte_budget import ByteBudget
from redwingscale_daemon._internal.ingress.held_bytes import HeldBytes
from redwingscale_daemon._internal.ingress.ingress_request import IngressRequest
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.quarantine.quarantine import Quarantine
from redwingscale_daemon._internal.quarantine.row_store import RowQuarantineStore
from redwingscale_daemon._internal.quarantine.store import StoredQuarantine

MICROSECONDS = 1e6
EVENTS = 8
BODY_BYTES = (4700, 28000)
UPSTREAM = Upstream("u", "llm", "127.0.0.1", 1, "z", 64, False, None, {}, frozenset(), frozenset())


def main(requests: int = 20000) -> None:
    """Measure ``requests`` requests for each line."""
    caller, other = socket.socketpair()
    for body_bytes in BODY_BYTES:
        for active in (False, True):
            fleet, board = new_fleet(), GossipState("one")
            quarantine = Quarantine("one", board, RowQuarantineStore(None))  # type: ignore[arg-type]
            ends = UpstreamEnds(fleet.directory, fleet.health)
            guard = CrashGuard(quarantine, fleet.directory, ends)
            if active:
                board.publish("quarantine", "0", StoredQuarantine("another", 300.0, ("w",)))
            call = _call(b"x" * body_bytes, caller)
            begun_at = time.perf_counter()
            for _ in range(requests):
                _serve(guard, call)
            cost = (time.perf_counter() - begun_at) / requests * MICROSECONDS
            typer.echo(f"body {body_bytes} bytes, quarantine active {active}: {cost:.1f} us")
    other.close()


def _serve(guard: CrashGuard, call: Call) -> None:
    call.attempts.fingerprint = None
    guard.check(call)
    attempt = guard.begin(call, UPSTREAM, 1.0)
    for number in range(1, EVENTS + 1):
        call.attempts.events_received = number
        attempt.note_event(number)
    attempt.note_complete()
    attempt.close()


def _call(body: bytes, caller: socket.socket) -> Call:
    held = HeldBytes(ByteBudget())
    held.keep_body(body)
    request = IngressRequest("POST", "/live/x", "a.example", (), 0.0, caller, held=held)
    budget = RepeatBudget(BudgetRule(0.2, 50.0, 10.0), lambda: 1)
    attempts = Attempts(None, "llm", budget)  # type: ignore[arg-type]
    watch = Watch(caller, time.monotonic() + 60.0)
    terms = Terms("r1", None, None, None)
    unused = None
    return Call(request, terms, unused, "llm", (), watch, unused, attempts, unused, unused)  # type: ignore[arg-type]


if __name__ == "__main__":
    typer.run(main)
