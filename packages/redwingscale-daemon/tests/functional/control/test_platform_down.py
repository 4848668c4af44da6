"""Requests without a claim are served while the platform is down."""

import pytest
from redwingscale_standins.engine.generation import answer_text

UNIT = "listing-vetter@v1"
REQUESTS = 20
# Shorter than the timeout of a call to the platform.
DEADLINE = {"X-Deadline-Seconds": "1.9"}


@pytest.mark.parametrize("faults", [{"down": True}, {"slow_seconds": 5.0}])
def test_streams_are_served_without_the_platform(small, small_text, faults):
    """
    The platform's store is down, or each call to it takes longer than any
    timeout. Requests do not need the store: all are answered within a deadline
    that one wait for the store would exceed.
    """
    deployment, client = small
    client.apply("i1", small_text())
    for instance in ("i1", "i2"):
        client.wait_until_resident(instance, {UNIT})
    deployment.set_faults("platform", **faults)

    answers = [
        client.complete(f"i{1 + n % 2}", "clerks", "listing-vetter", f"lot {n}", 10, **DEADLINE)
        for n in range(REQUESTS)
    ]

    expected = [answer_text(UNIT, f"lot {n}", 10) for n in range(REQUESTS)]
    assert [a.text for a in answers] == expected
    assert all(client.operate(i, "GET", "/status").document["ready"] for i in ("i1", "i2"))
