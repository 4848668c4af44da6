"""Checks that an answer that was begun and whose worker goes on arrives whole."""

from redwingscale_standins.soak.ledger import Break, RequestResult, Run
from redwingscale_standins.soak.stop_answers import (
    DEADLINE_TOLERANCE_SECONDS,
    IN_FLIGHT_SECONDS,
    worked_until_the_end,
)
from redwingscale_standins.soak.world import World


def check_whole_answers(world: World) -> None:
    """Add a finding for each answer that was cut though its worker went on."""
    for result in world.ledger.results:
        runs = [
            run
            for run in world.ledger.runs.get(result.request, [])
            if (result.request, run.worker) not in world.ledger.no_room
        ]
        if runs and not result.complete and not _excused(world, result, runs):
            world.ledger.add_finding("whole", _describe(result, runs))


def _excused(world: World, result: RequestResult, runs: list[Run]) -> bool:
    """Return whether the caller, its deadline, or a break of the last run ended the answer."""
    due_at = result.sent_at + result.limit_seconds - DEADLINE_TOLERANCE_SECONDS
    if result.disconnected or result.ended_at >= due_at:
        return True
    last = max(runs, key=lambda run: run.at)
    if worked_until_the_end(world.ledger, result, last):
        return True
    relayed = _relayed(world, result)
    return any(
        (broken.place in (last.worker, result.process) or (relayed and _of_process(broken)))
        and broken.begun_at <= result.ended_at
        and last.at <= broken.ended_at + IN_FLIGHT_SECONDS
        for broken in world.ledger.breaks
    )


def _relayed(world: World, result: RequestResult) -> bool:
    """Return whether another instance, which is not known, may have relayed the answer."""
    return any(
        cut.instance == result.instance
        and cut.begun_at <= result.ended_at
        and cut.ended_at >= result.sent_at
        for cut in world.path_cuts
    )


def _of_process(broken: Break) -> bool:
    return isinstance(broken.place, int)


def _describe(result: RequestResult, runs: list[Run]) -> str:
    context = f"request {result.request} ({result.kind}) at {result.instance}"
    ran = ", ".join(f"{run.worker} after {run.at - result.sent_at:.2f} s" for run in runs)
    cut = f"status {result.status}, cut within {result.ended_at - result.sent_at:.2f} s"
    return f"{context}: {cut}, not read for {result.stall_seconds:.2f} s; ran at {ran}"
