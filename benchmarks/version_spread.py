"""Delay of events beside a new version: ``python -m benchmarks.version_spread DIRECTORY ROUTES``.

Real instances with stand-ins. What the leader sends, to callers and to instances, passes one
link of 10 Mbit/s, and so does what it receives from the store. Streams run through the leader
while versions of that many routes come: with one changed route, and with all routes changed.
"""

import base64
import random
import re
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_standins.hosted.documents import HOST, document, stream_route
from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.hosted.model_worker import ModelWorker, WorkerTiming
from redwingscale_standins.hosted.raw_caller import RawCaller
from redwingscale_standins.hosted.rows_api import RowsApi
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.faulty_link import FaultyLink
from redwingscale_standins.soak.link_rate import LinkRate

LINK_MBPS = 10.0
MACHINE = {"processor_share": 1.0, "processor_speed": 1.0, "link_mbps": LINK_MBPS}
INSTANCES = 24
STREAMS = 8
EVENT_SECONDS = 0.05
EVENTS = 120
VERSION_AFTER_SECONDS = 1.5
LEASE_ROW = ("redwingscale", "", "order-giver")


class Rows(RowsApi):
    """Names the link in place of the leader's own peer port."""

    def __init__(self) -> None:
        super().__init__()
        self.link_by_port: dict[int, FaultyLink] = {}
        self.rate = LinkRate(LINK_MBPS)

    def _row(self, key: tuple[str, str, str]) -> dict[str, Any]:
        row = super()._row(key)
        if key == LEASE_ROW:
            record = msgspec.json.decode(base64.b64decode(row["Value"]))
            port = record["desk_port"]
            if port not in self.link_by_port:
                self.link_by_port[port] = FaultyLink(port, rate_from=self.rate)
            record["desk_port"] = self.link_by_port[port].port
            row["Value"] = base64.b64encode(msgspec.json.encode(record)).decode()
        return row


def large(version: int, routes: int, limit_ms: int, changed: int = 0) -> dict[str, Any]:
    """Return a version whose ``routes`` have ``limit_ms``, the first of them ``changed`` more."""
    names = random.Random(1)
    added = [
        stream_route(f"route-{names.getrandbits(40):x}", f"/{names.getrandbits(24):x}/")
        | {"TimeoutMs": limit_ms}
        for _ in range(routes)
    ]
    added[0]["TimeoutMs"] += changed
    return document(version) | {"Routes": [stream_route("live", "/live/"), *added]}


def stream(port: int, number: int) -> float:
    """Return the longest time beyond the usual one between two reads of a stream."""
    caller = RawCaller(port)
    caller.send(
        f"POST /live/x HTTP/1.1\r\nHost: {HOST}\r\nX-Redwingscale-Request-Id: r{time.time_ns()}"
        f"{number}\r\nX-Redwingscale-Model-Name: m1\r\nX-Redwingscale-Token-Usage: 10,{EVENTS}"
        "\r\nContent-Length: 2\r\n\r\n{}".encode()
    )
    last, longest, data = None, 0.0, b""
    while not data.endswith(b"0\r\n\r\n") and (piece := caller.socket.recv(65536)):
        now = time.monotonic()
        if last is not None:
            longest = max(longest, now - last - EVENT_SECONDS)
        last, data = now, data[-16:] + piece
    return longest


def count(instance: InstanceProcess, pattern: str) -> list[str]:
    """Return what the instance has logged that matches."""
    return re.findall(pattern, instance.log.read_text())


def play(instances: list[InstanceProcess], rows: Rows, port: int, made: dict[str, Any]) -> None:
    """Write a version beside streams, and print what it cost."""
    version = made["Version"]
    with ThreadPoolExecutor(STREAMS) as pool:
        streams = [pool.submit(stream, port, number) for number in range(STREAMS)]
        time.sleep(VERSION_AFTER_SECONDS)
        begun_at = time.monotonic()
        rows.put("op", "config", made)
        in_force = rf"configuration_in_force .*version={version} "
        until(lambda: all(count(one, in_force) for one in instances), "the version")
        seconds = time.monotonic() - begun_at
        delays = sorted(one.result() for one in streams)
    sent = [
        sum(map(int, count(one, rf"configuration_sent .*version={version} .*bytes=(\d+)")))
        for one in instances
    ]
    read = [
        len(count(one, rf"configuration_received .*source=store version={version} "))
        for one in instances
    ]
    print(
        f"version {version}: in force everywhere after {seconds:.2f} s; events up to "
        f"{delays[-1] * 1000:.0f} ms late (median of streams {delays[len(delays) // 2] * 1000:.0f});"
        f" sent {sum(sent)} bytes, most by one {max(sent)}; read by {sum(map(bool, read))}",
        flush=True,
    )


def main() -> None:
    """Play three versions."""
    directory, routes = Path(sys.argv[1]), int(sys.argv[2])
    directory.mkdir(parents=True, exist_ok=True)
    rows = Rows()
    store = HttpServer(rows, "127.0.0.1", 0, ServerLimits(threads=80))
    store.start()
    worker = ModelWorker("w0", {"m1": set()}, WorkerTiming(gap=EVENT_SECONDS))
    upstream = HttpServer(worker, "127.0.0.1", 0, ServerLimits(threads=24))
    upstream.start()
    rows.put("op", "config", large(1, routes, 20000))
    models = [{"Name": "m1", "Version": 1, "Adapters": []}]
    rows.put(
        "servers", "w0",
        {"Service": "llm", "Address": f"127.0.0.1:{upstream.port}", "Zone": "z1", "Slots": 64,
         "State": "ready", "Version": "v1", "ColdLeftMs": 0, "Seq": 1, "Models": models},
    )  # fmt: skip
    links = [FaultyLink(store.port, rate_from=LinkRate(LINK_MBPS)) for _ in range(INSTANCES)]
    instances = [
        InstanceProcess(f"i{number}", link.port, directory, machine=MACHINE)
        for number, link in enumerate(links)
    ]
    try:
        relies = r"configuration_source .*source=order_giver"
        until(
            lambda: sum(bool(count(one, relies)) for one in instances) == INSTANCES - 1,
            "the leader's updates",
        )
        time.sleep(3)
        leader = rows.value("redwingscale", "order-giver")["instance"]
        ports = next(one.ports for one in instances if one.name == leader)
        callers = FaultyLink(ports[0], rate_from=rows.rate)
        play(instances, rows, callers.port, large(1, routes, 20000) | {"Version": 1})
        play(instances, rows, callers.port, large(2, routes, 20000, changed=5))
        play(instances, rows, callers.port, large(3, routes, 9000))
        play(instances, rows, callers.port, large(4, routes, 9000, changed=5))
        now = rows.value("redwingscale", "order-giver")["instance"]
        print(f"leader {leader}, at the end {now}")
    finally:
        for one in instances:
            one.end()
        store.stop()
        upstream.stop()


if __name__ == "__main__":
    main()
