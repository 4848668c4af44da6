"""A second copy of an answer comes late, where the next answer on its connection is due."""

import pytest

from .conftest import events, head, sized

RETRY_SECONDS = 0.05


class FullForAMoment:
    """Refuses a request once, runs it the next time, and repeats its refusal late."""

    def __init__(self, answer):
        self._answer = answer
        self._refused_by = None
        self.runs = 0

    def __call__(self, connection, received):
        if self._refused_by is None:
            self._refused_by = connection
            self._refuse(connection, received)
            return True
        if connection is self._refused_by:
            self._refuse(connection, received)
        self.runs += 1
        return self._answer(connection, received)

    @staticmethod
    def _refuse(connection, received):
        lines = ("X-Redwingscale-Not-Executed: 1", f"Retry-After: {RETRY_SECONDS}")
        lines += ("Content-Length: 0",)
        connection.sendall(head(received, "503 Full", *lines, signed=False))


@pytest.mark.parametrize(
    ("path", "service", "model", "answer"),
    [
        ("/once/", "plain", None, sized(b"ok")),
        ("/safe/", "plain", None, sized(b"ok")),
        ("/single/", "llm", "m", events(1, 2)),
        ("/stream/", "llm", "m", events(1, 2)),
    ],
)
@pytest.mark.parametrize("others", [0, 1])
def test_copy_of_a_refusal_is_not_the_answer_to_the_next_sending(
    world, path, service, model, answer, others
):
    """Guards against an unsafe request that runs twice, or is refused as not run and has run."""
    upstream = FullForAMoment(answer)
    for _ in range(others + 1):
        world.add(service, upstream)
    assert world.request(path, model=model).status == 200
    assert upstream.runs == 1


def test_connection_carries_other_requests_after_a_refusal(world):
    """Guards against a new connection for each refusal."""
    world.add("plain", FullForAMoment(sized(b"ok")), sized(b"ok"))
    for _ in range(4):
        assert world.request("/once/").status == 200
    assert world.pool.opened == 2
