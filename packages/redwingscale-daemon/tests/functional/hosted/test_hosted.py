"""An instance as a process: start, reload, stop, loss of the store and of the leader."""

import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from redwingscale_standins.hosted.documents import document
from redwingscale_standins.hosted.model_worker import WorkerTiming
from redwingscale_standins.hosted.waiting import until


def test_stream_is_served_and_counted(deployment):
    deployment.worker("w1", "m1")
    one = deployment.instance("one")
    assert one.request_stream("m1", 4) == (200, [1, 2, 3, 4])
    counters = [
        line
        for line in one.metrics().splitlines()
        if line.startswith("redwingscale_ingress_requests_total") and 'outcome="answered"' in line
    ]
    assert [line.rsplit(" ", 1)[1] for line in counters] == ["1.0"]


def test_model_without_holder_is_loaded_for_a_request(deployment):
    worker = deployment.worker("w1", "m1")
    one = deployment.instance("one")
    assert one.request_stream("m2")[0] == 200
    assert [order["Op"] for order in worker.orders] == ["load"]
    assert worker.orders[0]["Holder"] == "one"


def test_adapter_is_loaded_for_a_request(deployment):
    worker = deployment.worker("w1", "m1")
    one = deployment.instance("one")
    assert one.request_stream("m1/a2")[0] == 200
    # A model that is resident nowhere may be loaded into free memory before the request.
    adapters = [order["Adapter"] for order in worker.orders if "Adapter" in order]
    assert adapters == ["a2"]


def test_reload_never_ends_the_process(deployment):
    deployment.worker("w1", "m1")
    one = deployment.instance("one")
    for _ in range(3):
        os.kill(one.process.pid, signal.SIGHUP)
        assert one.request_stream("m1")[0] == 200
    until(lambda: b"event=reloaded" in one.log.read_bytes(), "the log line of the reload")
    assert one.process.poll() is None


def test_planned_stop_finishes_open_streams(deployment):
    # An instance is stopped while streams are open: each stream must complete, and the
    # process must end by itself within its grace period.
    deployment.worker("w1", "m1", timing=WorkerTiming(gap=0.1))
    one = deployment.instance("one")
    with ThreadPoolExecutor(5) as pool:
        streams = [pool.submit(one.request_stream, "m1", 30, request=f"r{n}") for n in range(5)]
        until(lambda: len(deployment.workers["w1"].runs) == 5, "all runs")
        os.kill(one.process.pid, signal.SIGTERM)
        until(lambda: one.status() != 200, "unreadiness")
        assert [stream.result() for stream in streams] == [(200, list(range(1, 31)))] * 5
    assert one.process.wait(20) == 0


def test_signal_received_by_another_thread_is_handled(deployment):
    # Guards against an instance that serves for 30 s after a stop signal, until it is
    # killed. The kernel may deliver a signal to any thread; the handler runs in the main
    # thread, which slept on a lock that only the handler would have released.
    deployment.worker("w1", "m1")
    one = deployment.instance("one")
    pid = one.process.pid
    tasks = [int(task.name) for task in Path(f"/proc/{pid}/task").iterdir()]
    other = next(task for task in tasks if task != pid)
    for number in (signal.SIGHUP, signal.SIGTERM):
        assert ctypes.CDLL(None).tgkill(pid, other, number) == 0
        done = {signal.SIGHUP: b"event=reloaded", signal.SIGTERM: b"event=draining"}[number]
        until(lambda line=done: line in one.log.read_bytes(), "the effect of the signal")
    assert one.process.wait(20) == 0


def test_requests_are_served_while_the_store_is_down(deployment):
    deployment.worker("w1", "m1")
    one = deployment.instance("one")
    deployment.rows.down = True
    until(lambda: b"event=store_lost" in one.log.read_bytes(), "the loss of the store")
    assert one.request_stream("m1")[0] == 200
    assert one.status() == 200
    deployment.rows.down = False
    until(lambda: b"event=store_regained" in one.log.read_bytes(), "the recovery of the store")


def test_change_of_the_configuration_is_in_force(deployment):
    deployment.worker("w1", "m1")
    one = deployment.instance("one")
    assert one.request_stream("m1", path="/new/x")[0] == 404
    deployment.rows.put("op", "config", document(2, "/new/"))
    until(lambda: one.request_stream("m1", path="/new/x")[0] == 200, "the new route")
    assert one.request_stream("m1", path="/live/x")[0] == 404
    deployment.rows.put("op", "config", document(1))
    until(lambda: b"before=1" in one.log.read_bytes(), "the log line of the version change")
    assert one.request_stream("m1", path="/new/x")[0] == 200


def test_another_instance_becomes_leader(deployment):
    # The leader is killed. Another instance must become leader, with a higher fencing
    # number, and load the model that callers wait for.
    worker = deployment.worker("w1", "m1")
    first = deployment.instance("one")
    until(lambda: deployment.leader() == "one", "the first leader")
    second = deployment.instance("two")
    assert second.request_stream("m2")[0] == 200
    first.end()
    until(lambda: deployment.leader() == "two", "the second leader")
    until(
        lambda: second.request_stream("m3", request="r9")[0] == 200,
        "a model that the second leader loads",
    )
    fences = [order["Fence"] for order in worker.orders]
    assert fences == sorted(fences)
    assert [worker.orders[0]["Holder"], worker.orders[-1]["Holder"]] == ["one", "two"]
    assert fences[-1] > fences[0]


def test_leaving_upstream_gets_no_new_work(deployment):
    leaving = deployment.worker("w1", "m1")
    one = deployment.instance("one")
    deployment.worker("w2", "m1")
    deployment.rows.put("servers", "w1", deployment.entry(leaving, 1, "draining"))
    until(
        lambda: b"event=upstream_leaving" in one.log.read_bytes(),
        "the log line of the leaving upstream",
    )
    runs = len(leaving.runs)
    assert all(one.request_stream("m1", request=f"r{n}")[0] == 200 for n in range(5))
    assert len(leaving.runs) == runs


def test_logs_that_nobody_reads_block_no_request(deployment):
    # The reader of standard output hangs: the pipe is full after 64 KB, and a thread that
    # wrote a log line to it would block forever, and its caller with it.
    reader, writer = os.pipe()
    deployment.worker("w1", "m1")
    one = deployment.instance("one", pipe=(reader, writer))
    try:
        assert all(one.request_stream("m1", 1, request=f"r{n:04}")[0] == 200 for n in range(250))
    finally:
        one.end()
        os.close(reader)
        os.close(writer)


def test_port_in_use_is_logged_in_one_line(deployment, tmp_path):
    deployment.worker("w1", "m1")
    one = deployment.instance("one")
    settings = {**one.settings, "callers": f"127.0.0.1:{one.ports[0]}"}
    file = tmp_path / "taken.json"
    file.write_text(json.dumps({"ingress": settings}))
    command = [sys.executable, "-m", "redwingscale_daemon", "--settings", str(file)]
    ended = subprocess.run(command, capture_output=True, timeout=30)
    assert ended.returncode == 3
    assert b"event=start_failed" in ended.stdout
    assert b"Traceback" not in ended.stdout + ended.stderr


def test_requests_beyond_the_threads_are_refused_while_probes_answer(deployment):
    # Guards against a burst that takes all threads of an instance: further requests stayed
    # unread until their callers disconnected. They must be refused at once as not run, with
    # a time for a retry.
    deployment.worker("w1", "m1", timing=WorkerTiming(gap=0.2))
    one = deployment.instance("one")
    answering = one.settings["request_threads"] - 3
    with ThreadPoolExecutor(answering + 10) as pool:
        streams = [
            pool.submit(one.request_stream, "m1", 12, request=f"s{n}") for n in range(answering)
        ]
        until(lambda: one.log.read_bytes().count(b"event=sent ") >= answering, "open streams")
        refused = [pool.submit(one.request_stream, "m1", 3, request=f"r{n}") for n in range(10)]
        assert [each.result()[0] for each in refused] == [503] * 10
        assert one.status() == 200
        assert [each.result() for each in streams] == [(200, [*range(1, 13)])] * answering
    assert one.log.read_bytes().count(b"outcome=no_thread run=not_run") == 10
    assert one.request_stream("m1", 3) == (200, [1, 2, 3])


def test_connections_open_while_the_instance_has_no_processor_time(deployment):
    """Guards against callers that are kept out for a second by a process that stood still."""
    deployment.worker("w1", "m1")
    one = deployment.instance("one")
    one.process.send_signal(signal.SIGSTOP)
    try:
        callers = [socket.create_connection(("127.0.0.1", one.ports[0]), 0.5) for _ in range(40)]
    finally:
        one.process.send_signal(signal.SIGCONT)
    for caller in callers:
        caller.close()
    assert one.request_stream("m1", 3) == (200, [1, 2, 3])


def test_number_of_instances_outlasts_their_processes(deployment):
    """Guards against instances that all restart and each take a sixth of a limit."""
    deployment.worker("w1", "m1")
    names = [f"n{number}" for number in range(8)]
    for name in names:
        deployment.instance(name)

    def stored_count():
        return (deployment.rows.value("redwingscale", "order-giver") or {}).get("instances", 0)

    until(lambda: stored_count() >= len(names), "the number of instances")
    for instance in deployment.instances:
        instance.end()
    first = deployment.instances[0]
    first.start()
    until(lambda: deployment.leader() == first.name, "the next leader")
    assert stored_count() >= len(names)
