"""Checks that a planned stop in calm leaves no request without a whole answer."""

from redwingscale_standins.soak.ledger import Ledger, RequestResult, Run, Stop

# Deadlines are passed on in whole milliseconds, and may be passed on twice.
DEADLINE_TOLERANCE_SECONDS = 0.05
# A request that was in flight when its connection broke may begin to run so much later.
IN_FLIGHT_SECONDS = 0.3
# A request whose connection closes so soon after its last byte has crossed the close
# (`LossSlackMs` of the users' rules).
CROSSED_SECONDS = 0.2
# An answer may be cut in the last sixth of the grace period, while its worker is at work, if
# its request was sent no later than that after SIGTERM.
CUT_FROM, EARLY_SECONDS = 5 / 6, 3.0
# An unplanned fault may show so long after its end.
CALM_SECONDS = 4.0
NOT_RUN_STATUSES = frozenset({408, 503})
# Failures after a run are the instance's own from the second status on; workers answer 500.
FAILURE_STATUS, OWN_FAILURE_STATUS = 500, 502


def check_stop_answers(ledger: Ledger) -> None:
    """Add a finding for each request that a stopping instance read and did not answer whole."""
    for result in ledger.results + ledger.late_results:
        stop = _stop_of(ledger, result)
        if stop is None or result.disconnected or result.calm_since + CALM_SECONDS > result.sent_at:
            continue
        runs = [
            run
            for run in ledger.runs.get(result.request, [])
            if (result.request, run.worker) not in ledger.no_room
        ]
        if _is_lost(ledger, result, runs):
            ledger.add_finding("stop answer", _describe(result, runs, stop))


def worked_until_the_end(ledger: Ledger, result: RequestResult, run: Run) -> bool:
    """Return whether a stop cut the answer in the last sixth of its grace, its worker at work."""
    stop = _stop_of(ledger, result)
    if stop is None or result.last_byte_at is None:
        return False
    cut_from = stop.signalled_at + stop.grace_seconds * CUT_FROM
    ended_at = ledger.run_ends.get((result.request, run.worker), result.ended_at)
    early = result.last_byte_at <= stop.signalled_at + EARLY_SECONDS
    return early and min(ended_at, result.ended_at) >= cut_from


def _stop_of(ledger: Ledger, result: RequestResult) -> Stop | None:
    """Return the stop of its instance that the request met."""
    stops = (stop for stop in ledger.stops if stop.process == result.process)
    return next((stop for stop in stops if stop.signalled_at <= result.ended_at), None)


def _is_lost(ledger: Ledger, result: RequestResult, runs: list[Run]) -> bool:
    due_at = result.sent_at + result.limit_seconds - DEADLINE_TOLERANCE_SECONDS
    if result.ended_at >= due_at:
        return False
    status = result.status or 0
    if not runs:
        if result.complete:
            return status >= FAILURE_STATUS and status not in NOT_RUN_STATUSES
        last_byte_at = result.last_byte_at
        return last_byte_at is not None and result.ended_at > last_byte_at + CROSSED_SECONDS
    if result.complete and status < OWN_FAILURE_STATUS:
        return False
    last = max(runs, key=lambda run: run.at)
    broken = any(
        one.place == last.worker
        and one.begun_at <= result.ended_at
        and last.at <= one.ended_at + IN_FLIGHT_SECONDS
        for one in ledger.breaks
    )
    return not broken and not worked_until_the_end(ledger, result, last)


def _describe(result: RequestResult, runs: list[Run], stop: Stop) -> str:
    def after(at: float | None) -> str:
        return "never" if at is None else f"{at - stop.signalled_at:.2f} s"

    context = f"request {result.request} ({result.kind}) at {result.instance}, from SIGTERM on"
    sent = f"sent {after(result.sent_at)} to {after(result.last_byte_at)}"
    ran = ", ".join(f"{run.worker} {after(run.at)}" for run in runs) or "nowhere"
    return f"{context}: {sent}, status {result.status}, end {after(result.ended_at)}, ran at {ran}"
