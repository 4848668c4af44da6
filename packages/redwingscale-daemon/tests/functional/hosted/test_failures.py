"""Failures of processes on the path of routed requests."""

import os
import signal
import time
from concurrent.futures import ThreadPoolExecutor

from redwingscale_standins.hosted.waiting import until

EVENTS = 60


def test_streams_of_killed_workers_are_resumed_whole(deployment):
    """Guards against streams that are cut, or miss or repeat events, as their worker ends."""
    for number in range(4):
        deployment.worker_process(f"w{number}", "m1")
    one, two = deployment.instance("one"), deployment.instance("two")

    def call(number):
        instance = (one, two)[number % 2]
        return instance.request_stream(
            "m1", EVENTS, request=f"s{number}", body=f"stream {number}".encode()
        )

    with ThreadPoolExecutor(16) as pool:
        streams = [pool.submit(call, number) for number in range(16)]
        for process in deployment.processes[:2]:
            time.sleep(0.3)
            process.kill()
            until(lambda killed=process: killed.ends, "the end of the worker")
        results = [stream.result() for stream in streams]
    assert results == [(200, [*range(1, EVENTS + 1)])] * 16
    logs = one.log.read_bytes() + two.log.read_bytes()
    assert b"event=suspect " in logs
    assert b"event=quarantined" not in logs


def test_leader_suspended_past_its_lease_sends_no_order(deployment):
    """Guards against two leaders that order one worker in turns."""
    worker = deployment.worker("w1", "m1")
    one = deployment.instance("one")
    until(lambda: deployment.leader() == "one", "the first leader")
    two = deployment.instance("two")
    os.kill(one.process.pid, signal.SIGSTOP)
    try:
        until(lambda: deployment.leader() == "two", "the second leader")
        until(lambda: two.request_stream("m2", request="r2")[0] == 200, "a load")
    finally:
        os.kill(one.process.pid, signal.SIGCONT)
    until(lambda: one.request_stream("m3", request="r3")[0] == 200, "a model")
    ordered = [(order["Holder"], order["Fence"]) for order in worker.orders]
    fences = [fence for _, fence in ordered]
    assert fences == sorted(fences)
    first_of_two = ordered.index(next(one for one in ordered if one[0] == "two"))
    assert {holder for holder, _ in ordered[first_of_two:]} == {"two"}
