"""An innocent suspect that runs in its turn while another body ends the same worker."""

import itertools
import re
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from redwingscale_standins.hosted.documents import HOST
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.hosted.worker_process import ENDS_AT_ONCE
from redwingscale_standins.soak.ledger import Ledger
from redwingscale_standins.soak.soak_worker import SoakWorker

from .test_lost_path import configuration, send
from .test_requests_that_end_workers import (
    INSTANCES,
    MOST_ENDS,
    REFUSED,
    ends,
    knows_its_peers,
    request,
    send_until_refused,
)

WORKERS = 3
# A turn lasts for two events, so that the other body meets it.
GAP_SECONDS = 0.5
# No worker is back before the body has ended the others.
DOWN_SECONDS = 4.0
PAUSE_SECONDS = 0.03
EVENTS = 4
POPULAR = b"popular"


@pytest.fixture
def fleet(deployment):
    """Three instances, and three workers whose events come slowly.

    Instances given to ``hear`` hear a plain worker all the time, so they know that their path works.
    """
    deployment.rows.put("op", "config", configuration())
    for number in range(WORKERS):
        deployment.worker_process(
            f"w{number}", "m1", gap=GAP_SECONDS, listed_seconds=0.6, down_seconds=DOWN_SECONDS
        )
    deployment.plain_worker(SoakWorker("plain", set(), Ledger()))
    instances = [deployment.instance(name) for name in INSTANCES]
    until(lambda: all(map(knows_its_peers, instances)), "the peers of each instance")
    stopped = threading.Event()

    def hear(instance):
        for number in itertools.takewhile(lambda _: not stopped.is_set(), itertools.count()):
            send(instance, "safe", f"plain-{number}")
            time.sleep(PAUSE_SECONDS)

    with ThreadPoolExecutor(len(instances)) as pool:
        deployment.hear = lambda heard: [pool.submit(hear, each) for each in heard]
        yield deployment
        stopped.set()


def sent_to(instance, request_id):
    """Return the workers that ``instance`` has sent a request to, in turn."""
    line = re.compile(rf"event=sent .*request={request_id} upstream=(\S+)")
    return line.findall(instance.log.read_text())


def open_stream(instance, request_id, body):
    """Return the answer of a stream, whose body is unread."""
    headers = {
        "Host": HOST,
        "X-Redwingscale-Request-Id": request_id,
        "X-Redwingscale-Model-Name": "m1",
        "X-Redwingscale-Token-Usage": f"10,{EVENTS}",
    }
    url = f"http://127.0.0.1:{instance.ports[0]}/live/x"
    return urllib3.request(
        "POST", url, body=body, headers=headers, retries=False, preload_content=False
    )


def end_others_in_its_turn(fleet):
    """Let the popular body get its turn, and another one end the workers that are left."""
    first, second, _ = fleet.instances
    answer = open_stream(first, "popular", POPULAR)
    assert answer.read(1)
    # Its first event has come, the second one has not: it is suspect once the worker ends.
    [used] = sent_to(first, "popular")
    next(one for one in fleet.processes if one.id == used).kill()
    until(lambda: len(sent_to(first, "popular")) == 2, "its turn")
    request(second, "ending", ENDS_AT_ONCE)
    until(lambda: ends(fleet) >= WORKERS, "the end of the others")


def assert_only_the_other_is_refused(fleet):
    send_until_refused(fleet, ENDS_AT_ONCE)
    statuses = []

    def is_served():
        statuses.append(request(fleet.instances[-1], f"popular-{len(statuses)}", POPULAR)[0])
        return statuses[-1] == 200

    until(is_served, "the popular body")
    assert REFUSED not in statuses


def test_suspect_in_its_turn_is_not_refused_for_a_body_that_ends_workers(fleet):
    """Guards against a popular body that is refused since another one ends workers at once."""
    fleet.hear(fleet.instances)
    end_others_in_its_turn(fleet)
    assert_only_the_other_is_refused(fleet)
    assert ends(fleet) <= 1 + MOST_ENDS


def test_suspect_is_not_refused_for_a_body_of_an_instance_that_doubts_its_path(fleet):
    """Guards against a popular body that is refused since the cause has no evidence in time."""
    first, _, third = fleet.instances
    fleet.hear([first, third])
    end_others_in_its_turn(fleet)
    assert_only_the_other_is_refused(fleet)
