"""A non-idempotent call runs at most once although instances are killed."""

import random
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from redwingscale_standins.launcher.client import Client
from redwingscale_standins.launcher.shape import PlainShape, Shape

SERVICE = "bidding-portal"
PLAIN = ("register-1", "register-2")
SHAPE = Shape(
    name="once",
    region="aegean",
    instances_by_id={"one": "a", "two": "a"},
    engines=(),
    plain=tuple(PlainShape(p, "a", SERVICE) for p in PLAIN),
    full_speed_loads=7,
)


class Bidders:
    """Calls the plain service, and reads which calls the service has run."""

    def __init__(self, deployment, text):
        self.deployment = deployment
        self.client = Client(deployment)
        self.client.wait_for(lambda: self.client.apply("one", text).status < 500, "applied")
        for instance in ("one", "two"):
            self.wait_until_ready(instance)

    def wait_until_ready(self, instance):
        headers = {"Idempotency-Key": f"ready-{instance}-{time.monotonic()}"}
        path = f"/services/{SERVICE}/ready"
        self.client.wait_for(
            lambda: self.client.post(instance, path, "portal", {}, headers).status == 200,
            f"{instance} ready",
        )

    def bid(self, instance, key):
        return self.client.post(
            instance, f"/services/{SERVICE}/bids", "portal", {"bid": key}, {"Idempotency-Key": key}
        )

    def runs(self):
        pool = urllib3.PoolManager(retries=False)
        counted = Counter()
        for member in PLAIN:
            url = self.deployment.members_by_id[member].admin_url
            record = pool.request("GET", f"{url}/admin/record").json()
            counted.update(r["key"] for r in record if not r["key"].startswith("ready"))
        return counted

    def kill(self, instance):
        self.deployment.members_by_id[instance].process.kill()

    def is_open_at(self, instance):
        return self.client.operate(instance, "GET", "/status").document["open_requests"] > 0


@pytest.fixture
def bidders(make_deployment, izmir_text):
    return Bidders(make_deployment(SHAPE), izmir_text)


def test_instance_killed_between_claim_and_send(bidders):
    """An instance is killed while the table writes its claim, before it sends the call, and
    the caller's connection breaks. The other instance cannot know that the call was not
    sent, so a repeat is refused as `unknown`, and nothing is run."""
    bidders.deployment.set_faults("platform", slow_seconds=1.5)
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(bidders.bid, "one", "bid-1")
        bidders.client.wait_for(lambda: bidders.is_open_at("one"), "the call to arrive")
        time.sleep(0.3)
        bidders.kill("one")
        assert isinstance(first.exception(), urllib3.exceptions.HTTPError)
    bidders.deployment.set_faults("platform", slow_seconds=0)
    time.sleep(1.5)

    repeat = bidders.bid("two", "bid-1")

    assert (repeat.status, repeat.document["run"]) == (409, "unknown")
    assert "Retry-After" in repeat.headers
    assert bidders.runs() == {}


def test_instance_killed_between_send_and_outcome(bidders):
    """An instance is killed after the service has run the call: the caller's connection
    breaks, its repeat through the other instance is refused as `unknown`, and the service
    has run the call once."""
    for member in PLAIN:
        bidders.deployment.set_faults(member, slow_seconds=2.0)
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(bidders.bid, "one", "bid-1")
        bidders.client.wait_for(lambda: bidders.runs(), "the call to run")
        bidders.kill("one")
        assert isinstance(first.exception(), urllib3.exceptions.HTTPError)

    repeat = bidders.bid("two", "bid-1")

    assert (repeat.status, repeat.document["run"]) == (409, "unknown")
    assert bidders.runs() == {"bid-1": 1}


def test_no_bid_runs_twice_while_instances_are_killed(bidders):
    """Callers repeat unanswered bids through either instance, while the table loses replies
    and one instance after the other is killed and restarted. No key may run twice (a
    doubled bid) or run although it was last refused as `not_run`."""
    rng = random.Random(4)
    keys = [f"bid-{n}" for n in range(40)]
    for member in PLAIN:
        bidders.deployment.set_faults(member, slow_seconds=0.1)

    def send(key):
        before = bidders.runs()[key]
        for instance in rng.sample(("one", "two"), 2):
            try:
                answer = bidders.bid(instance, key)
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 200:
                return ("answered", key)
            if answer.document["run"] == "not_run" and bidders.runs()[key] > before:
                return ("wrong_refusal", key)
        return ("open", key)

    def send_while_killing(victim, some_keys):
        bidders.deployment.set_faults("platform", lose_replies=3)
        with ThreadPoolExecutor(8) as pool:
            sent = [pool.submit(send, key) for key in some_keys]
            bidders.client.wait_for(lambda: sum(f.done() for f in sent) >= 8, "some answers")
            bidders.kill(victim)
            results = [f.result() for f in sent]
        bidders.deployment.start_instance(victim, "a")
        bidders.wait_until_ready(victim)
        return results

    results = send_while_killing("one", keys[:30]) + send_while_killing("two", keys[10:])

    assert [r for r in results if r[0] == "wrong_refusal"] == []
    assert max(bidders.runs().values()) == 1
    assert len({key for outcome, key in results if outcome == "answered"}) >= 30
