"""The soak's check of requests that a stopping instance has read, and of what excuses a cut."""

import pytest
from redwingscale_standins.soak.ledger import Break, Ledger, RequestResult, Run, Stop
from redwingscale_standins.soak.stop_answers import check_stop_answers

PROCESS, OTHER_PROCESS = 41, 42
# SIGTERM at 10 s; the last sixth of the grace begins at 16.67 s.
STOP = Stop(PROCESS, 10.0, 8.0)
# A request that was sent 2 s after SIGTERM, and cut 7.4 s after it.
CUT = RequestResult(
    request="r1", kind="once", path="/once/r1", body=b"", instance="n1", status=None,
    sent_at=12.0, ended_at=17.4, disconnected=False, undisturbed_since=0.0, process=PROCESS,
    complete=False, limit_seconds=8.0, stall_seconds=0.0, last_byte_at=12.0,
)  # fmt: skip
LATE = CUT._replace(sent_at=16.5, last_byte_at=16.5)
RUN, LATE_RUN = Run("w1", "/once/r1", b"", 12.1), Run("w1", "/once/r1", b"", 16.6)
ANSWERED = CUT._replace(status=200, complete=True)


def _findings(result, runs=(), run_ends=None, breaks=(), no_room=()):
    ledger = Ledger()
    ledger.late_results.append(result)
    ledger.runs[result.request] += runs
    ledger.run_ends |= run_ends or {}
    ledger.breaks += breaks
    ledger.no_room |= set(no_room)
    ledger.stops.append(STOP)
    check_stop_answers(ledger)
    return ledger.findings


EXCUSED = {
    "ran, whole": (ANSWERED, [RUN]),
    "ran, and its worker failed": (ANSWERED._replace(status=500), [RUN]),
    "not run, 503": (ANSWERED._replace(status=503), []),
    "not run, 408": (ANSWERED._replace(status=408), []),
    "closed before its last byte": (CUT._replace(last_byte_at=None), []),
    "crossed the close": (CUT._replace(last_byte_at=17.25), []),
    "caller left": (CUT._replace(disconnected=True), [RUN]),
    "deadline": (LATE._replace(limit_seconds=0.9), [LATE_RUN]),
    "limit of a request that did not run": (CUT._replace(limit_seconds=5.4), []),
    "worker broke off": (LATE, [LATE_RUN], {}, [Break("w1", 17.0, 17.1)]),
    "sent early, still at work": (CUT, [RUN], {("r1", "w1"): 17.5}),
    "sent early, at work as the last sixth began": (CUT, [RUN], {("r1", "w1"): 16.7}),
    "sent early, still at work, answered 502": (
        CUT._replace(status=502, complete=True),
        [RUN],
        {("r1", "w1"): 17.5},
    ),
    "an unplanned fault was near": (LATE._replace(calm_since=13.0), [LATE_RUN]),
    "no stop of its instance": (LATE._replace(process=OTHER_PROCESS), [LATE_RUN]),
    "ended before SIGTERM": (CUT._replace(sent_at=5.0, last_byte_at=5.0, ended_at=9.9), [RUN]),
}
FOUND = {
    "ran late and cut": (LATE, [LATE_RUN]),
    "begun answer cut": (LATE._replace(status=200), [LATE_RUN]),
    "head early, last byte later than 3 s after SIGTERM": (
        CUT._replace(last_byte_at=13.1),
        [RUN],
        {("r1", "w1"): 17.5},
    ),
    "sent early, but its worker had ended": (CUT, [RUN], {("r1", "w1"): 16.5}),
    "cut before the last sixth": (CUT._replace(ended_at=16.0), [RUN], {("r1", "w1"): 16.1}),
    "another worker broke off": (LATE, [LATE_RUN], {}, [Break("w2", 17.0, 17.1)]),
    "worker broke off after the cut": (LATE, [LATE_RUN], {}, [Break("w1", 17.5, 17.6)]),
    "instance broke off": (LATE, [LATE_RUN], {}, [Break(PROCESS, 17.0, 17.1)]),
    "not run, closed without an answer": (CUT._replace(last_byte_at=17.1), []),
    "rejected for want of room, closed without an answer": (
        LATE,
        [LATE_RUN],
        {},
        [],
        [("r1", "w1")],
    ),
    "not run, answered as if it had": (ANSWERED._replace(status=502), []),
    "not run, answered 500": (ANSWERED._replace(status=500), []),
    "ran late, and answered 502 at the end": (LATE._replace(status=502, complete=True), [LATE_RUN]),
    "a fault that was over": (LATE._replace(calm_since=12.0), [LATE_RUN]),
}


@pytest.mark.parametrize("case", EXCUSED)
def test_excused(case):
    # Guards against false findings, which would hide the true ones.
    assert _findings(*EXCUSED[case]) == []


@pytest.mark.parametrize("case", FOUND)
def test_found(case):
    # Guards against requests that a stop leaves without an answer, unnoticed.
    assert len(_findings(*FOUND[case])) == 1
