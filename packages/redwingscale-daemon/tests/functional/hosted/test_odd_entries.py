"""Another writer leaves an odd entry among those of the workers."""

import msgspec
import pytest
from redwingscale_standins.hosted.waiting import until

DEPTH = 5000


def entry(**fields):
    """Return an entry as its bytes; values that are bytes are written as they are."""
    odd = {
        "Service": "llm", "Address": "127.0.0.1:1", "Zone": "z1", "Slots": 64, "State": "ready",
        "Version": "v1", "ColdLeftMs": 0, "Seq": 1,
    }  # fmt: skip
    raw = {name: msgspec.Raw(value) for name, value in fields.items() if isinstance(value, bytes)}
    return msgspec.json.encode(odd | fields | raw)


LARGE = b"9" * 30
ODD = {
    "nested-arrays": entry(Note=b"[" * DEPTH + b"]" * DEPTH),
    "nested-objects": entry(Note=b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    "nested-without-end": b"[" * DEPTH,
    "large-slots": entry(Slots=LARGE),
    "large-start": entry(born=LARGE),
    "large-version": entry(Models=b'[{"Name":"m1","Version":%s}]' % LARGE),
    "port-out-of-range": entry(Address="127.0.0.1:65536"),
}


def is_served(instance, model):
    return instance.request_stream(model, 1)[0] == 200


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD)
def test_odd_entry_keeps_no_instance_from_following_the_list(deployment, odd):
    """Guards against an entry for which instances end, or follow or read the list no more."""
    deployment.worker("w1", "m1")
    one = deployment.instance("one")
    until(lambda: deployment.leader() is not None, "a leader")
    deployment.rows.put("servers", "odd", msgspec.Raw(odd))
    deployment.worker("w2", "m2")
    until(lambda: is_served(one, "m2"), "the worker that joined after the odd entry")
    two = deployment.instance("two")
    deployment.worker("w3", "m3")
    until(lambda: is_served(one, "m3") and is_served(two, "m3"), "the last worker")
    assert one.process.poll() is None
