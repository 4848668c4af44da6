"""Sends requests at their arrival times, however long the responses take (an open loop)."""

import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import NamedTuple

from redwingscale_cli._internal.cli.output import print_progress
from redwingscale_cli._internal.models.load_plan import LoadPlan
from redwingscale_cli._internal.models.load_result import RequestResult
from redwingscale_cli._internal.network.callers_client import CallersClient
from redwingscale_cli._internal.operations.load_arrivals import generate_arrivals

MAX_THREADS = 512
PROGRESS_SECONDS = 2.0


class LoadRun(NamedTuple):
    """The results of all requests and the duration of the run."""

    results: list[RequestResult]
    seconds: float


def run_load(plan: LoadPlan) -> LoadRun:
    """Send all requests of ``plan`` and wait for their responses."""
    client = CallersClient(plan)
    started = time.monotonic()
    next_progress = PROGRESS_SECONDS
    futures: list[Future[RequestResult]] = []
    with ThreadPoolExecutor(MAX_THREADS) as pool:
        for arrival in generate_arrivals(plan):
            elapsed = time.monotonic() - started
            time.sleep(max(0.0, arrival.at_seconds - elapsed))
            futures.append(pool.submit(client.send, arrival))
            if arrival.at_seconds > next_progress:
                done = sum(f.done() for f in futures)
                print_progress(f"{arrival.at_seconds:.0f} s: {len(futures)} sent, {done} answered")
                next_progress += PROGRESS_SECONDS
    return LoadRun([future.result() for future in futures], time.monotonic() - started)
