"""What counts as the crash of an upstream under a request, and what a refused caller gets."""

import json
import time

from redwingscale_daemon._internal.forwarding import crash_guard
from redwingscale_daemon._internal.quarantine.record import Crash
from redwingscale_daemon._internal.quarantine.store import StoredQuarantine

from .conftest import WAIT_SECONDS, breaks, events, sized
from .test_bytes_held import wait_until

SECONDS = 300.0


def watch_fingerprints(seen):
    original = crash_guard.fingerprint_of
    return lambda call: seen.append(original(call)) or seen[-1]


def crashes(world, number):
    """Return a script that stops listening before it closes the connection."""

    def script(connection, received):
        world.upstreams[number][0].close()
        return False

    return script


def test_reset_connection_of_a_running_upstream_is_no_crash(world):
    """Guards against links that reset connections and condemn what ran on them."""
    world.add("llm", breaks)
    world.add("llm", events(1, 2, 3))
    assert world.request("/stream/x", model="m").status == 200
    assert not world.crash_counts


def test_upstream_that_refuses_connections_makes_its_requests_suspect(world):
    """Guards against a crash that leaves no trace beyond the failed attempt."""
    world.add("llm", crashes(world, 0))
    world.add("llm", breaks)
    world.request("/stream/x", model="m")
    assert world.crash_counts["suspect"] == 1


def test_refused_connections_of_a_doubtful_path_are_no_evidence(world):
    """Guards against a network that refuses connections, and condemns what it carried."""
    world.add("llm", crashes(world, 0))
    world.add("llm", breaks)
    world.path.note_failed("other", "no connection")
    world.request("/single/x", model="m")
    assert not world.crash_counts


def test_refused_connection_is_evidence_once_another_upstream_has_answered(world):
    """Guards against a crash that is forgotten since the path was in doubt at first."""
    world.add("llm", crashes(world, 0))
    world.add("llm", breaks)
    world.path.note_failed("other", "no connection")
    world.request("/single/x", model="m")
    assert not world.crash_counts
    world.path.note_heard("u1")
    world.guard.note_refused(world.upstreams[0][1])
    assert world.crash_counts["suspect"] == 1


def test_loss_of_the_own_path_makes_no_request_suspect(world):
    """Guards against a popular body that is refused everywhere after a cut at one instance."""
    world.add("llm", breaks)
    assert world.request("/single/x", model="m").status == 502
    world.guard.drop_losses()
    world.directory.replace([])
    assert not world.crash_counts


def test_planned_end_of_an_upstream_is_no_crash(world):
    """Guards against upstreams that leave and condemn what they still ran."""
    world.add("llm", crashes(world, 0))
    world.add("llm", breaks)

    def leave(connection, received):
        world.directory.note_leaving(["u0"], "answer")
        return crashes(world, 0)(connection, received)

    world.upstreams[0][0].scripts = [leave]
    world.request("/stream/x", model="m")
    assert not world.crash_counts


def test_entry_that_leaves_the_list_later_is_evidence(world):
    """Guards against a process that is replaced before anyone is refused a connection."""
    world.add("llm", breaks)
    assert world.request("/single/x", model="m").status == 502
    assert not world.crash_counts
    world.directory.replace([])
    assert world.crash_counts["suspect"] == 1


def lose_without_evidence(world, monkeypatch):
    """Lose one request twice at u0, first without a turn and then in its turn."""
    world.add("llm", breaks)
    seen = []
    monkeypatch.setattr(crash_guard, "fingerprint_of", watch_fingerprints(seen))
    world.quarantine.note_crash("other", Crash("u8", "refused"), None)
    assert world.request("/single/x", model="m").status == 502
    world.quarantine.note_crash(seen[0], Crash("u9", "refused"), None)
    assert world.request("/single/x", model="m").status == 502


def test_evidence_that_comes_after_a_turn_still_decides(world, monkeypatch):
    """Guards against workers that are back at their address before a connection is refused."""
    lose_without_evidence(world, monkeypatch)
    world.directory.replace([])
    deadline = time.monotonic() + WAIT_SECONDS
    while not world.crash_counts["quarantined"]:
        assert time.monotonic() < deadline
        time.sleep(0.02)
    assert world.request("/single/x", model="m").status == 422


def test_crash_that_another_instance_reports_is_evidence(world):
    """Guards against the cause of a crash that stays unknown at an instance without a path."""
    world.add("llm", breaks)
    assert world.request("/single/x", model="m").status == 502
    assert not world.crash_counts
    world.quarantine.note_crash("other", Crash("u0", "refused"), None)
    wait_until(lambda: world.crash_counts["suspect"] == 2)


def test_loss_after_the_report_of_a_crash_has_evidence(world):
    """Guards against a loss that is noticed only after other instances have seen the crash."""
    world.add("llm", breaks)
    world.quarantine.note_crash("other", Crash("u0", "refused"), None)
    assert world.request("/single/x", model="m").status == 502
    assert world.crash_counts["suspect"] == 2


def test_reported_crash_long_after_a_loss_is_no_evidence(world, monkeypatch):
    """Guards against a connection that was cut before its upstream crashed."""
    monkeypatch.setattr(crash_guard, "REPORTED_SECONDS", 0.0)
    world.add("llm", breaks)
    assert world.request("/single/x", model="m").status == 502
    world.quarantine.note_crash("other", Crash("u0", "refused"), None)
    time.sleep(0.1)
    assert world.crash_counts["suspect"] == 1


def test_reported_crash_decides_no_turn(world, monkeypatch):
    """Guards against a request that is condemned since the connection of its turn was cut."""
    lose_without_evidence(world, monkeypatch)
    world.quarantine.note_crash("other", Crash("u0", "refused"), None)
    wait_until(lambda: len(world.guard.pending.at("u0")) == 1)
    time.sleep(0.6)
    assert not world.crash_counts["quarantined"]
    assert [loss.turn is None for loss in world.guard.pending.at("u0")] == [False]


def test_upstream_that_leaves_during_a_wait_gets_no_request(world, monkeypatch):
    """Guards against a copy of a cleared suspect that is sent to an upstream that has left."""
    world.add("llm", events(1, 2, 3))
    wait_for_turn = world.quarantine.wait_for_turn

    def wait_while_it_leaves(*arguments):
        world.directory.note_leaving(["u0"], "answer")
        return wait_for_turn(*arguments)

    monkeypatch.setattr(world.quarantine, "wait_for_turn", wait_while_it_leaves)
    world.quarantine.note_crash("other", Crash("u8", "refused"), None)
    assert (
        world.request("/stream/x", model="m", headers=("X-Redwingscale-Deadline-Ms: 500",)).status
        == 503
    )
    assert not world.log


def test_suspect_that_runs_anywhere_is_cleared(world):
    """Guards against a popular request that stays suspect while it is answered elsewhere."""
    world.add("llm", crashes(world, 0))
    world.add("llm", events(1, 2, 3))
    for _ in range(4):
        assert world.request("/stream/x", model="m").status == 200
    assert world.crash_counts["suspect"] == world.crash_counts["cleared"]


def test_quarantined_request_is_refused_as_not_run(world, monkeypatch):
    """Guards against a repeat that an upstream still runs, and a caller told that it ran."""
    world.add("plain", sized(b"answer"))
    seen = []
    monkeypatch.setattr(crash_guard, "fingerprint_of", watch_fingerprints(seen))
    world.quarantine.note_crash("other", Crash("u9", "refused"), None)
    assert world.request("/safe/x", b"body").status == 200
    world.entries.publish("quarantine", "0", StoredQuarantine(seen[0], SECONDS, ("u0",)))
    sent = len(world.log)
    refused = world.request("/safe/x", b"body")
    assert refused.status == 422
    assert json.loads(refused.body)["run"] == "not_run"
    assert SECONDS - 10 < float(refused.headers["Retry-After"]) <= SECONDS
    assert len(world.log) == sent
    assert world.request("/safe/x", b"another body").status == 200
    assert world.request("/safe/y", b"body").status == 200


def test_no_fingerprint_is_computed_while_nothing_is_suspect(world, monkeypatch):
    """Guards against digests of every body, which cost more than their routing."""

    def fail(*_):
        raise AssertionError("a fingerprint")

    monkeypatch.setattr(crash_guard, "fingerprint_of", fail)
    world.add("llm", events(1, 2, 3))
    assert world.request("/stream/x", model="m").status == 200


def test_upstream_that_is_replaced_during_a_wait_is_not_used(world):
    """Guards against requests that wait for a turn and then go where they were to go before."""
    world.add("llm", events(1))
    listed = world.upstreams[0][1]
    assert world.guard.is_usable(listed)
    world.health.note_replaced(listed.id)
    assert not world.guard.is_usable(listed)
