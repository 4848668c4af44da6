"""The routes and services of one configuration version."""

import hashlib
import random
from collections.abc import Iterable
from functools import cached_property
from itertools import accumulate
from typing import NamedTuple

import msgspec

from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route
from redwingscale_daemon._internal.routes.service_rule import ServiceRule
from redwingscale_daemon._internal.workspaces.keys import WorkspaceKeys

DIGEST_BYTES = 16


class IngressLimits(NamedTuple):
    """Limits on a caller's request: size, time to send its head, and time without data."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


class RouteTable:
    """One immutable version; routes are found by host and longest prefix.

    ``keys`` is None if callers need no key.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services_by_name: dict[str, ServiceRule],
        limits: IngressLimits,
        keys: WorkspaceKeys | None = None,
    ) -> None:
        self.version = version
        self.services_by_name = services_by_name
        self.limits = limits
        self.keys = keys
        self.by_host_and_prefix = {(route.host, route.prefix): route for route in routes}

    def __len__(self) -> int:
        return len(self.by_host_and_prefix)

    @property
    def routes(self) -> Iterable[Route]:
        """All routes."""
        return self.by_host_and_prefix.values()

    @cached_property
    def longest_stream_seconds(self) -> float:
        """The longest time limit of a route for streams, 0 without one."""
        streams = (one for one in self.routes if one.idempotency is Idempotency.STREAM)
        return max((one.time_limit_seconds for one in streams), default=0.0)

    @cached_property
    def digest(self) -> bytes:
        """A digest of all but the version, the same wherever the table was built.

        Instances of different releases may decode one document to different tables, which
        have different digests.
        """
        routes, services = self.by_host_and_prefix, self.services_by_name
        keys = self.keys.workspaces_by_digest if self.keys else {}
        content = (
            [routes[key] for key in sorted(routes)],
            [services[name] for name in sorted(services)],
            self.limits,
            self.keys is None,
            [(digest, keys[digest]) for digest in sorted(keys)],
        )
        encoded = msgspec.msgpack.encode(content, order="deterministic")
        return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``.

        Prefixes end with a slash, so only the parts of the path up to a slash are looked
        up: a table of hundreds of routes costs no more than one of ten.
        """
        ends = [index + 1 for index, character in enumerate(path) if character == "/"]
        for end in reversed(ends):
            route = self.by_host_and_prefix.get((host, path[:end]))
            if route is not None:
                return route
        return None


def draw_service(route: Route, random_source: random.Random) -> str:
    """Return one of the route's services at random, by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    sums = list(accumulate(share.weight for share in route.services))
    point = random_source.random() * sums[-1]
    return next(
        (share.service for share, end in zip(route.services, sums, strict=True) if point < end),
        route.services[-1].service,
    )
