"""Opens many streams at once and records when their events arrive."""

import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import urllib3

EVENT_END = b"\n\n"


class StreamTimes(NamedTuple):
    """Arrival times of one stream's events, in seconds; ``whole`` when it ended well."""

    times: list[float]
    whole: bool


class Target(NamedTuple):
    """Where streams are opened; ``body`` builds the JSON body of each."""

    url: str
    headers: dict[str, str]
    body: Callable[[str], dict[str, object]]


def open_streams(targets: list[Target], count: int) -> list[StreamTimes]:
    """Open ``count`` streams at the same time, spread over ``targets``."""
    pool = urllib3.PoolManager(retries=False, maxsize=count)
    barrier = threading.Barrier(count)

    def run(number: int) -> StreamTimes:
        target = targets[number % len(targets)]
        barrier.wait()
        return _read(pool, target)

    with ThreadPoolExecutor(count) as threads:
        return list(threads.map(run, range(count)))


def _read(pool: urllib3.PoolManager, target: Target) -> StreamTimes:
    times: list[float] = []
    response = pool.request(
        "POST",
        target.url,
        json=target.body(uuid.uuid4().hex),
        headers=target.headers,
        preload_content=False,
        timeout=60.0,
    )
    buffer = b""
    for chunk in response.stream(decode_content=False):
        buffer += chunk
        *events, buffer = buffer.split(EVENT_END)
        times += [time.monotonic()] * len(events)
    response.release_conn()
    return StreamTimes(times, response.status == 200)
