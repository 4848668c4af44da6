"""What keys and limits cost a request: ``python -m benchmarks.keys_and_limits``.

Two parts, side by side in one run: the lookup of a key and the draw on a limit that many
instances share, beside the reading of a request's headers, which every request pays.
Before there were keys a request paid for the headers alone. And the model of 60
instances: how each way of sharing a limit holds it, and what it refuses.
"""

import time
from collections.abc import Callable

from redwingscale_daemon._internal.ingress.ingress_request import IngressRequest
from redwingscale_daemon._internal.platform import exchange
from redwingscale_daemon._internal.workspaces.keys import WorkspaceKeys, key_digest
from redwingscale_daemon._internal.workspaces.use_limiter import UseLimiter
from redwingscale_daemon._internal.workspaces.use_messages import GrantEntry
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, UseUnit, Workspace
from redwingscale_standins.use_limits.ways import FixedPart, Granted, ToldLevel
from redwingscale_standins.use_limits.world import Shape, play

from benchmarks.lib.points import write_points

REQUESTS = 20_000
WORKSPACES, KEYS_EACH = 16, 8
SEEDS = range(3)
WINDOW_SECONDS = 8.0
SHAPES = {
    "calm": Shape(per_second=60_000.0, flood=1.0),
    "flood through all": Shape(per_second=317_000.0),
    "flood through one": Shape(per_second=60_000.0, through=1),
    "flood, a third cut off": Shape(
        per_second=60_000.0, silent_from=9.0, silent_to=13.0, silent_part=0.33
    ),
    "flood as the order giver is lost": Shape(
        per_second=295_000.0, flood=6.0, silent_from=7.5, silent_to=11.8, silent_part=1.0
    ),
    "limit lowered": Shape(per_second=60_000.0, flood=1.0, lowered_at=8.0),
    "372 instances": Shape(per_second=317_000.0, instances=372, through=372),
}


def microseconds(step: Callable[[], object]) -> float:
    """Return what one call of ``step`` takes, of the best of three rounds."""
    rounds = []
    for _ in range(3):
        started = time.perf_counter()
        for _ in range(REQUESTS):
            step()
        rounds.append((time.perf_counter() - started) / REQUESTS * 1e6)
    return min(rounds)


def request_points() -> list[dict[str, object]]:
    """Return the cost of each part for one request."""
    limit = UseLimit(UseUnit.TOKENS, 1e12, 1e12, 200.0)
    workspaces = [Workspace(f"w{number}", 1, limit) for number in range(WORKSPACES)]
    keys = WorkspaceKeys(
        {
            key_digest(f"{one.name}-{number}"): one
            for one in workspaces
            for number in range(KEYS_EACH)
        }
    )
    limiter = UseLimiter(lambda: 67, 17_000.0)
    limiter.receive([GrantEntry("w3", 1e12, 1.0, near_limit=True)])
    headers = (
        ("X-Redwingscale-Request-Id", "9c41d07be2a35f68"),
        ("X-Redwingscale-Token-Usage", "1460,80"),
        ("X-Redwingscale-Deadline-Ms", "4000"),
        ("Authorization", "Bearer w3-5"),
    )
    request = IngressRequest("POST", "/a/b", "a", headers, 0.0, None)  # type: ignore[arg-type]
    plain = request._replace(headers=headers[:-1])

    def keys_and_limit() -> None:
        workspace = keys.find(key_digest("w3-5"))
        assert workspace is not None
        limiter.draw(workspace, 1540)

    return [
        {"part": "headers", "us": microseconds(lambda: exchange.read_terms(plain))},
        {"part": "headers with a key", "us": microseconds(lambda: exchange.read_terms(request))},
        {"part": "key and limit", "us": microseconds(keys_and_limit)},
    ]


def way_points() -> list[dict[str, object]]:
    """Return how each way holds a limit, the worst of some seeds."""
    points: list[dict[str, object]] = []
    for name, shape in SHAPES.items():
        allowed = shape.per_second * (WINDOW_SECONDS + shape.burst_seconds) * 1.1 + 17_000
        for way in (FixedPart, ToldLevel, Granted):
            counts = [play(shape, way, seed) for seed in SEEDS]
            worst = max(one.worst_window(WINDOW_SECONDS) for one in counts)
            points.append(
                {
                    "shape": name,
                    "way": way.__name__,
                    "worst_window_of_allowed": round(worst / allowed, 3),
                    "shortfall": round(max(one.shortfall for one in counts), 3),
                    "entries_per_second": round(counts[0].entries / shape.seconds),
                }
            )
    return points


if __name__ == "__main__":
    parameters = {"workspaces": WORKSPACES, "requests": REQUESTS, "seeds": len(SEEDS)}
    write_points("keys_and_limits", parameters, [*request_points(), *way_points()])
