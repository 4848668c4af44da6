"""Instances that have lost their path to all upstreams, while everything else reaches them."""

import itertools
import socket
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import pytest
import urllib3
from redwingscale_standins.hosted.documents import HOST, document, stream_route
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.ledger import Ledger
from redwingscale_standins.soak.process_paths import PathFault
from redwingscale_standins.soak.soak_worker import SoakWorker

INSTANCES = ("one", "two", "three")
WORKERS = 6
EVENTS = 12
# Requests sent later than this after the begin of a cut must be served.
CONTACT_SECONDS = 3.0
COUNTED_SECONDS = 2.5
LEAST_RATIO = 2 / 3
DEADLINE_MS = 2000


class Sent(NamedTuple):
    """A request: ``status`` is 0 if its answer was cut, ``ids`` are those of its events."""

    kind: str
    request: str
    at: float
    status: int
    ids: list
    seconds: float

    @property
    def served(self):
        return self.status == 200 and (self.kind != "live" or self.ids == [*range(1, EVENTS + 1)])


def send(instance, kind, request, body=b"{}", **headers):
    """Send one request to the route ``kind``."""
    at = time.monotonic()
    headers |= {
        "Host": HOST,
        "X-Redwingscale-Request-Id": request,
        "X-Redwingscale-Deadline-Ms": str(DEADLINE_MS),
    }
    if kind == "live":
        headers |= {
            "X-Redwingscale-Model-Name": "m1",
            "X-Redwingscale-Token-Usage": f"10,{EVENTS}",
        }
    url = f"http://127.0.0.1:{instance.ports[0]}/{kind}/x?q=1"
    try:
        answer = urllib3.request(
            "POST", url, body=body, headers=headers, retries=False, timeout=20.0
        )
        status, lines = answer.status, answer.data.decode().splitlines()
    except urllib3.exceptions.HTTPError:
        status, lines = 0, []
    ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
    return Sent(kind, request, at, status, ids, time.monotonic() - at)


class Callers:
    """Callers of each instance that send one request after another, of each kind."""

    def __init__(self, instances, body=None):
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._body = body
        self.sent_by_instance = {each.name: [] for each in instances}
        kinds = ("live", "live", "safe", "once")
        self._threads = [
            threading.Thread(target=self._call, args=(each, kind), daemon=True)
            for each, kind in itertools.product(instances, kinds)
        ]
        for thread in self._threads:
            thread.start()

    def _call(self, instance, kind):
        sent = self.sent_by_instance[instance.name]
        while not self._stopped.is_set():
            number = next(self._numbers)
            body = self._body or f"body {number}".encode()
            sent.append(send(instance, kind, f"{kind}-{id(self)}-{number}", body))
            if kind != "live":
                self._stopped.wait(0.1)

    def served(self, instances, since, until_at):
        """Return the fraction of the requests sent in a time that were served."""
        sent = [
            one
            for each in instances
            for one in self.sent_by_instance[each.name]
            if since < one.at < until_at
        ]
        assert sent, "no request was sent"
        return sum(one.served for one in sent) / len(sent), Counter(
            (one.kind, one.status) for one in sent
        )

    def stop(self):
        """Stop after the requests that are open now; a second call does nothing."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()


def knows_its_peers(instance):
    lines = instance.log.read_text().splitlines()
    peers = {line.split("peer=")[1].split()[0] for line in lines if "event=entries_" in line}
    return len(peers) == len(INSTANCES) - 1


def configuration():
    made = document(1)
    made["Routes"] += [
        stream_route(kind, f"/{kind}/")
        | {"Kind": rule, "Service": "plain", "TimeoutMs": DEADLINE_MS, "Resumable": False}
        for kind, rule in (("safe", "safe"), ("once", "unsafe"))
    ]
    made["Services"].append({"Name": "plain", "MaxConns": 100})
    return made


@pytest.fixture
def fleet(deployment):
    """Three instances, six workers with one model, two plain workers."""
    deployment.rows.put("op", "config", configuration())
    deployment.ledger = Ledger()
    for number in range(WORKERS):
        deployment.worker_process(f"w{number}", "m1", linked=True)
    for number in range(2):
        deployment.plain_worker(SoakWorker(f"p{number}", set(), deployment.ledger))
    for name in INSTANCES:
        deployment.instance(name)
    until(lambda: all(map(knows_its_peers, deployment.instances)), "the peers of each instance")
    until(lambda: deployment.leader() in INSTANCES, "a leader")
    deployment.callers = Callers(deployment.instances)
    time.sleep(1.0)
    yield deployment
    deployment.callers.stop()


def leader_and_others(fleet):
    by_name = {each.name: each for each in fleet.instances}
    leader = by_name.pop(fleet.leader())
    return leader, list(by_name.values())


def leave_stream(instance, request):
    """Begin a stream and close the connection after its first bytes."""
    lines = [
        "POST /live/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Redwingscale-Request-Id: {request}",
        "X-Redwingscale-Model-Name: m1",
        "X-Redwingscale-Token-Usage: 10,2000",
        "Content-Length: 0",
    ]
    with socket.create_connection(("127.0.0.1", instance.ports[0])) as caller:
        caller.sendall("\r\n".join([*lines, "", ""]).encode())
        assert caller.recv(1)


def statuses(fleet):
    return {one.status for some in fleet.callers.sent_by_instance.values() for one in some}


def lines_of(instance, request):
    """Return the lines in the log of an instance that name a request."""
    lines = instance.log.read_bytes().splitlines()
    return b"\n".join(line for line in lines if f"request={request} ".encode() in line)


def runs_more_than_once(fleet):
    runs = fleet.ledger.runs
    return [key for key, some in runs.items() if key.startswith("once-") and len(some) > 1]


def assert_served_through_the_cut(fleet, cut, fault):
    others = [each for each in fleet.instances if each not in cut]
    for instance in cut:
        fleet.cut(instance, fault)
    since = time.monotonic() + CONTACT_SECONDS
    time.sleep(CONTACT_SECONDS + COUNTED_SECONDS)
    until_at = time.monotonic()
    # None of the requests counted is served because the cut ends.
    time.sleep(DEADLINE_MS / 1000)
    for instance in cut:
        fleet.heal(instance)
    time.sleep(0.5)
    fleet.callers.stop()
    there, answers = fleet.callers.served(cut, since, until_at)
    elsewhere, _ = fleet.callers.served(others, since, until_at)
    assert elsewhere > 0.95
    assert there >= elsewhere * LEAST_RATIO, answers
    assert runs_more_than_once(fleet) == []


@pytest.mark.parametrize("fault", PathFault)
def test_callers_of_an_instance_without_path_are_served(fleet, fault):
    """Guards against an instance that fails its callers while its peers reach all upstreams."""
    _, others = leader_and_others(fleet)
    assert_served_through_the_cut(fleet, others[:1], fault)


def test_callers_of_two_of_three_instances_without_path_are_served(fleet):
    """Guards against instances without a path that pass requests on to each other."""
    _, others = leader_and_others(fleet)
    assert_served_through_the_cut(fleet, others, PathFault.RESET)


def test_callers_of_a_leader_without_path_are_served(fleet):
    """Guards against a leader that loses its path and goes on to lead."""
    leader, _ = leader_and_others(fleet)
    assert_served_through_the_cut(fleet, [leader], PathFault.RESET)
    assert fleet.leader() != leader.name


def test_popular_body_is_not_refused_after_a_cut(fleet):
    """Guards against a body in quarantine everywhere since its streams broke at one instance."""
    fleet.callers.stop()
    fleet.callers = Callers(fleet.instances, b"popular")
    time.sleep(0.5)
    _, others = leader_and_others(fleet)
    assert_served_through_the_cut(fleet, others[:1], PathFault.RESET)
    assert 422 not in statuses(fleet)


def test_requests_are_sent_directly_after_the_cut(fleet):
    """Guards against an instance that goes on to use its peers when its path works again."""
    _, (instance, _) = leader_and_others(fleet)
    fleet.cut(instance, PathFault.RESET)
    until(lambda: b"event=path_lost" in instance.log.read_bytes(), "the loss of the path")
    fleet.heal(instance)
    until(lambda: b"event=path_restored" in instance.log.read_bytes(), "the path")
    fleet.callers.stop()
    before = instance.log.read_bytes().count(b"event=passed_on")
    assert all(send(instance, "live", f"after-{n}").served for n in range(5))
    assert instance.log.read_bytes().count(b"event=passed_on") == before


def test_stream_goes_on_through_another_peer_when_its_peer_is_killed(fleet):
    """Guards against streams that end with the instance that has taken them over."""
    leader, (instance, other) = leader_and_others(fleet)
    fleet.cut(instance, PathFault.RESET)
    until(lambda: b"event=path_lost" in instance.log.read_bytes(), "the loss of the path")
    fleet.callers.stop()
    events = 150
    with ThreadPoolExecutor(1) as pool:
        stream = pool.submit(instance.request_stream, "m1", events, request="long")
        until(lambda: b"event=passed_on instance" in lines_of(instance, "long"), "its peer")
        time.sleep(0.5)
        name = lines_of(instance, "long").split(b"event=passed_on ")[1]
        peer = next(one for one in (leader, other) if f"peer={one.name}".encode() in name)
        peer.end()
        assert stream.result() == (200, [*range(1, events + 1)])


def test_cancel_reaches_the_upstream_through_a_peer(fleet):
    """Guards against work for a caller who has left an instance without a path."""
    _, (instance, _) = leader_and_others(fleet)
    fleet.cut(instance, PathFault.RESET)
    until(lambda: b"event=path_lost" in instance.log.read_bytes(), "the loss of the path")
    leave_stream(instance, "left")
    others = [each for each in fleet.instances if each is not instance]
    until(
        lambda: any(b"event=caller_left" in lines_of(each, "left") for each in others),
        "the end of the request at the peer",
    )


def test_instances_that_all_lose_their_path_refuse_at_once(fleet):
    """Guards against requests held until their deadline while nobody can serve them."""
    for instance in fleet.instances:
        fleet.cut(instance, PathFault.HOLD)
    lost = b"event=path_lost"
    until(lambda: all(lost in each.log.read_bytes() for each in fleet.instances), "the loss")
    fleet.callers.stop()
    refused = [
        send(each, kind, f"{each.name}-{kind}")
        for each in fleet.instances
        for kind in ("live", "safe", "once")
    ]
    assert {one.status for one in refused} == {503}
    for instance in fleet.instances:
        fleet.heal(instance)
    until(lambda: all(send(each, "live", "again").served for each in fleet.instances), "service")
