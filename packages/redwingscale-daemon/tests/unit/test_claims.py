"""A non-idempotent request runs at most once, whatever faults the table has."""

import random
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from opentelemetry import trace
from redwingscale_daemon._internal.exceptions import Refusal, WriteUnknown
from redwingscale_daemon._internal.idempotency.claim import CLAIM_PREFIX, Claimant, ClaimKey
from redwingscale_daemon._internal.idempotency.claims import Claims
from redwingscale_daemon._internal.idempotency.committer import Committer
from redwingscale_daemon._internal.idempotency.once import Once
from redwingscale_daemon._internal.idempotency.outcome import Answer, OutcomeStore
from redwingscale_daemon._internal.idempotency.retention import BUCKET_SECONDS, Retention
from redwingscale_daemon._internal.idempotency.settler import Settler
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.models.generation import EndEvent, TokenEvent
from redwingscale_daemon._internal.models.member import PlainMember
from redwingscale_daemon._internal.relay.plain import PlainRelay, PlainRequest
from redwingscale_daemon._internal.relay.retry_budget import RetryBudget
from redwingscale_daemon._internal.settings.settings import PlatformSettings
from redwingscale_daemon._internal.store.store import connect_platform
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_daemon._internal.upstreams.plain_client import PlainClient
from redwingscale_daemon._internal.upstreams.plain_state import PlainStates

PLATFORM_TIMEOUT_SECONDS = 0.3
KEY = ClaimKey("portal", "register", "bid-1")
http = urllib3.PoolManager(retries=False)


class OneUpstream:
    """A router with one upstream."""

    def __init__(self, url):
        self._member = PlainMember("register-1", "a", False, url, "register")

    def choose_plain(self, service, excluded):
        return None if self._member.id in excluded else self._member


class Node:
    """The at-most-once parts of one instance."""

    def __init__(self, name, platform_url, plain_url, metrics):
        platform = connect_platform(PlatformSettings(platform_url, PLATFORM_TIMEOUT_SECONDS), name)
        self.table = platform.table
        self.committer = Committer(platform.table, max_pause_seconds=0.02)
        self.settler = Settler(self.committer, platform.table)
        self.now = time.time()
        self.retention = Retention(
            platform.table, Claimant(name, 1), lambda: True, 0.0, lambda: self.now
        )
        self.claims = Claims(
            self.committer,
            self.settler,
            OutcomeStore(platform.objects),
            Claimant(name, 1),
            self.retention,
            3600,
            metrics,
        )
        self.once = Once(self.claims, PLATFORM_TIMEOUT_SECONDS + 0.2)
        self.relay = PlainRelay(
            OneUpstream(plain_url),
            PlainClient(1.0),
            InFlight(),
            PlainStates(GossipState(name), Members(None)),
            self.once,
            RetryBudget(),
            Tracing(name, ""),
            metrics,
        )
        self.committer.start()
        self.settler.start()

    def call(self, key, body=b"{}", seconds=5.0):
        request = PlainRequest(
            "r", "portal", "register", "POST", "/bids", {"Idempotency-Key": key}, body,
            False, key, time.monotonic() + seconds,
        )  # fmt: skip
        return self.relay.run(request, trace.INVALID_SPAN)

    def refusal(self, key, **options):
        with pytest.raises(Refusal) as caught:
            self.call(key, **options)
        return caught.value

    def wait_for_state(self, key, state):
        row = ClaimKey("portal", "register", key).row
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            found = self.table.read([row])[row]
            if found and found.value["state"] == state:
                return
            time.sleep(0.02)
        raise TimeoutError(state)

    def stop(self):
        self.settler.stop(5.0)
        self.committer.stop()


@pytest.fixture(scope="module")
def metrics():
    value = Metrics("")
    yield value
    value.close()


@pytest.fixture
def nodes(platform_url, plain_url, metrics):
    made = [Node(name, platform_url, plain_url, metrics) for name in ("one", "two")]
    yield made
    for node in made:
        node.stop()


def set_faults(url, **switches):
    assert http.request("POST", f"{url}/admin/faults", json=switches).status == 200


def runs_by_key(url):
    return Counter(r["key"] for r in http.request("GET", f"{url}/admin/record").json())


@pytest.mark.parametrize("padding", [0, 10_000])
def test_repeat_through_another_instance_gets_the_stored_answer(nodes, plain_url, padding):
    """A caller loses its answer and repeats the call through another instance: it gets
    the first answer, from the row or from the object store, and the service has run once."""
    set_faults(plain_url, padding_bytes=padding)

    first = nodes[0].call("bid-1")
    repeat = nodes[1].call("bid-1")

    assert repeat == first
    assert runs_by_key(plain_url) == {"bid-1": 1}


def test_key_reused_with_another_body_runs_nothing(nodes, plain_url):
    nodes[0].call("bid-1", b"ten")

    refusal = nodes[1].refusal("bid-1", body=b"twenty")

    assert (refusal.status, refusal.code, refusal.run) == (422, "idempotency_key_reused", "not_run")
    assert runs_by_key(plain_url) == {"bid-1": 1}


def test_repeat_during_the_first_call_is_refused_as_unknown(nodes, plain_url):
    """The first call is still running when its caller repeats it through another instance:
    the repeat is refused at once as unknown, with a time to retry, and a later one gets
    the answer of the first."""
    set_faults(plain_url, slow_seconds=1.0)
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(nodes[0].call, "bid-1")
        nodes[1].wait_for_state("bid-1", "open")
        refusal = nodes[1].refusal("bid-1")
        answer = first.result()

    assert (refusal.status, refusal.run) == (409, "unknown")
    assert refusal.retry_after_seconds
    assert nodes[1].call("bid-1") == answer
    assert runs_by_key(plain_url) == {"bid-1": 1}


def test_call_past_its_deadline_continues_and_its_outcome_is_stored(nodes, plain_url):
    """The service answers after the deadline: the caller is refused as `unknown` at the
    deadline, the call is not cancelled, and a repeat gets its outcome."""
    set_faults(plain_url, slow_seconds=3.0)

    # Long enough to write the claim within the deadline on a busy machine.
    refusal = nodes[0].refusal("bid-1", seconds=1.5)
    nodes[1].wait_for_state("bid-1", "done")

    assert (refusal.status, refusal.run) == (504, "unknown")
    assert nodes[1].call("bid-1").status == 200
    assert runs_by_key(plain_url) == {"bid-1": 1}


def test_call_is_refused_as_not_run_while_the_table_is_down(nodes, platform_url, plain_url):
    """The table is down: the call is refused at once as not run, with a time to retry,
    and a repeat after the outage runs."""
    set_faults(platform_url, down=True)

    refusal = nodes[0].refusal("bid-1")

    assert (refusal.status, refusal.run) == (503, "not_run")
    assert refusal.retry_after_seconds
    assert runs_by_key(plain_url) == {}
    set_faults(platform_url, down=False)
    assert nodes[1].call("bid-1").status == 200


def test_repeat_at_the_same_instance_is_unknown_while_the_table_is_down(
    nodes, platform_url, plain_url
):
    """The call ran, the table is down and the caller repeats the call through the same
    instance: a refusal as `not_run` would be wrong."""
    nodes[0].call("bid-1")
    set_faults(platform_url, down=True)

    assert nodes[0].refusal("bid-1").run == "unknown"


def test_lost_reply_to_the_claim_write_runs_the_call_once(nodes, platform_url, plain_url):
    """The claim write takes effect but its reply is lost: the row's write id shows that
    this instance made the claim, and the call runs."""
    set_faults(platform_url, lose_replies=1)

    answer = nodes[0].call("bid-1")

    assert nodes[1].call("bid-1") == answer
    assert runs_by_key(plain_url) == {"bid-1": 1}


def test_claim_that_nobody_waited_for_is_withdrawn(nodes, platform_url, plain_url):
    """The table is so slow that the claim takes effect after its request was refused as
    not run. Unless the claim is withdrawn, every repeat is refused as `unknown` although
    nothing ran."""
    set_faults(platform_url, slow_seconds=0.8)
    refusal = nodes[0].refusal("bid-1", seconds=1.0)
    set_faults(platform_url, slow_seconds=0.0)

    nodes[1].wait_for_state("bid-1", "released")

    assert refusal.run == "not_run"
    assert nodes[1].call("bid-1").status == 200
    assert runs_by_key(plain_url) == {"bid-1": 1}


def test_call_that_the_service_refused_may_be_repeated(nodes, plain_url):
    """The service answers that it did not run the call: the refusal says so, and a repeat
    through another instance runs."""
    set_faults(plain_url, refuse=True)
    refusal = nodes[0].refusal("bid-1")
    set_faults(plain_url)

    assert refusal.run == "not_run"
    assert nodes[1].call("bid-1").status == 200


def test_call_whose_answer_was_lost_is_not_sent_again(nodes, plain_url):
    """The service runs the call and its answer is lost: the call and each repeat are
    refused as `unknown`, and the service has run once."""
    set_faults(plain_url, lose_reply=True)
    first = nodes[0].refusal("bid-1")
    set_faults(plain_url)

    repeat = nodes[1].refusal("bid-1")

    assert (first.run, repeat.run) == ("unknown", "unknown")
    assert runs_by_key(plain_url) == {"bid-1": 1}


def test_outcome_is_stored_after_an_outage(nodes, platform_url, plain_url):
    """The table goes down between claim and outcome: the caller still gets its answer, and
    a repeat after the outage gets the same one."""
    set_faults(plain_url, slow_seconds=0.5)
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(nodes[0].call, "bid-1")
        nodes[1].wait_for_state("bid-1", "open")
        set_faults(platform_url, down=True)
        answer = first.result()
    set_faults(platform_url, down=False)

    nodes[1].wait_for_state("bid-1", "done")

    assert nodes[1].call("bid-1") == answer


def test_claim_of_a_newer_release_is_left_alone(nodes, plain_url):
    """During an upgrade a newer instance has claimed the key in a format that this one
    cannot decode: the repeat is refused as `unknown`, and nothing runs."""
    nodes[0].table.put_if(KEY.row, {"state": "later"}, 0)

    assert nodes[0].refusal("bid-1").run == "unknown"
    assert runs_by_key(plain_url) == {}


def test_concurrent_calls_with_one_key_run_once(nodes, plain_url):
    barrier = threading.Barrier(16)

    def send(number):
        barrier.wait()
        try:
            return nodes[number % 2].call("bid-1").status
        except Refusal as refusal:
            return refusal.run

    with ThreadPoolExecutor(16) as pool:
        results = Counter(pool.map(send, range(16)))

    assert results[200] >= 1
    assert results["not_run"] == 0
    assert runs_by_key(plain_url) == {"bid-1": 1}


def test_generation_continues_when_its_caller_disconnects(nodes):
    """The caller of a non-idempotent generation disconnects in mid-stream: the generation
    is finished, and a repeat gets all of its tokens."""
    sent = []

    def start():
        for position in range(5):
            sent.append(position)
            yield TokenEvent(position, f"t{position} ")
        yield EndEvent(5)

    deadline = time.monotonic() + 5
    stream = nodes[0].once.stream(KEY, "f", deadline, start)
    next(stream)
    stream.close()
    nodes[0].once.wait_until_idle(5.0)

    repeat = list(nodes[1].once.stream(KEY, "f", deadline, start))

    assert repeat == [TokenEvent(p, f"t{p} ") for p in range(5)] + [EndEvent(5)]
    assert sent == list(range(5))


def test_batch_with_a_claimed_key_still_claims_the_others(nodes):
    """One key of a batch is claimed already: only its write fails, and the other claims of
    the same transaction are made."""
    nodes[0].claims.complete(nodes[0].claims.open(KEY, "f", 5.0), Answer(200, "t", b"a"))

    def claim(number):
        key = ClaimKey("portal", "register", f"bid-{number}")
        return nodes[1].claims.open(key, "f", 5.0)

    with ThreadPoolExecutor(32) as pool:
        results = list(pool.map(claim, range(32)))

    assert [r for r in results if isinstance(r, Answer)] == [Answer(200, "t", b"a")]
    assert len(nodes[0].table.scan(CLAIM_PREFIX)) == 32


def test_expired_claims_are_deleted(nodes, platform_url):
    """The sweep deletes expired claims by the expiry index, leaves a key that was claimed
    later, and continues after a lost reply has interrupted it."""
    sweeper = nodes[1]
    old, new = (KEY._replace(idempotency_key=key).row for key in ("old", "new"))
    nodes[0].call("old")
    expires_at = sweeper.table.read([old])[old].value["expires_at"]
    bucket = expires_at // BUCKET_SECONDS
    nodes[0].retention.note(new, expires_at)
    nodes[0].retention.flush()
    sweeper.now = (bucket - 1) * BUCKET_SECONDS
    sweeper.retention.sweep()
    sweeper.claims._retention_seconds = 10 * BUCKET_SECONDS
    sweeper.call("new")

    sweeper.now = (bucket + 2) * BUCKET_SECONDS
    sweeper.retention.sweep()
    sweeper.retention.sweep()
    assert sweeper.table.scan(CLAIM_PREFIX).keys() == {old, new}
    set_faults(platform_url, lose_replies=1)
    with pytest.raises(WriteUnknown):
        sweeper.retention.sweep()
    sweeper.retention.sweep()

    assert sweeper.table.scan(CLAIM_PREFIX).keys() == {new}


@pytest.mark.parametrize("seed", range(3))
def test_no_key_runs_twice_under_table_faults(nodes, platform_url, plain_url, seed):
    """Callers repeat calls through both instances while the table loses replies, goes down
    and is slow, and the service refuses calls and loses answers. No key may run twice (a
    doubled bid), be refused as `not_run` although it ran, or get two different answers."""
    rng = random.Random(seed)
    keys = [f"bid-{seed}-{n}" for n in range(24)]
    answers = {key: set() for key in keys}
    violations = []

    def send(key, node):
        before = runs_by_key(plain_url)[key]
        try:
            answers[key].add(nodes[node].call(key, key.encode(), seconds=1.5).body)
        except Refusal as refusal:
            if refusal.run == "not_run" and runs_by_key(plain_url)[key] > before:
                violations.append((key, refusal.code))

    with ThreadPoolExecutor(8) as pool:
        for _ in range(12):
            set_faults(
                platform_url,
                lose_replies=rng.choice([0, 0, 1, 3]),
                down=rng.random() < 0.2,
                slow_seconds=rng.choice([0, 0, 0.1, 0.35]),
            )
            set_faults(
                plain_url, refuse=rng.random() < 0.2, lose_reply=rng.random() < 0.2,
                slow_seconds=rng.choice([0, 0.05]),
            )  # fmt: skip
            work = [(key, rng.randrange(2)) for key in rng.sample(keys, 16)]
            list(pool.map(lambda item: send(*item), work))
    set_faults(platform_url, down=False, slow_seconds=0, lose_replies=0)
    for node in nodes:
        node.stop()

    runs = runs_by_key(plain_url)
    assert violations == []
    assert max(runs.values()) == 1
    assert all(len(bodies) <= 1 for bodies in answers.values())
    assert sum(map(len, answers.values())) > len(keys) // 2
    states = {row.value["state"] for row in nodes[0].table.scan(CLAIM_PREFIX).values()}
    assert "open" not in states
