"""The shapes of the two deployments: what runs in which failure domain."""

from typing import NamedTuple

GIGABYTE = 1_000_000_000


class EngineShape(NamedTuple):
    """One engine stand-in."""

    id: str
    failure_domain: str
    vendor: str
    accelerators: int
    memory_bytes: int


class PlainShape(NamedTuple):
    """One upstream of a plain service."""

    id: str
    failure_domain: str
    service: str


class Shape(NamedTuple):
    """A deployment; ``instances_by_id`` maps an instance to its failure domain."""

    name: str
    region: str
    instances_by_id: dict[str, str]
    engines: tuple[EngineShape, ...]
    plain: tuple[PlainShape, ...]
    full_speed_loads: int


def _instances(prefix: str) -> dict[str, str]:
    return {f"{prefix}-{domain}{number}": domain for domain in "abc" for number in (1, 2)}


def _engines(prefix: str, domains: str) -> tuple[EngineShape, ...]:
    return tuple(
        EngineShape(
            id=f"{prefix}-engine-{number}",
            failure_domain=domain,
            vendor="alder" if number % 2 else "birch",
            accelerators=2,
            memory_bytes=160 * GIGABYTE,
        )
        for number, domain in enumerate(domains, start=1)
    )


def _plain(prefix: str, service: str) -> tuple[PlainShape, ...]:
    return tuple(PlainShape(f"{prefix}-{service}-{d}", d, service) for d in "abc")


SHAPES_BY_NAME = {
    "izmir": Shape(
        name="izmir",
        region="aegean",
        instances_by_id=_instances("izmir"),
        engines=_engines("izmir", "abcab"),
        plain=_plain("izmir", "bidding-portal"),
        full_speed_loads=7,
    ),
    "accra": Shape(
        name="accra",
        region="gulf",
        instances_by_id=_instances("accra"),
        engines=_engines("accra", "abcabcabc"),
        plain=_plain("accra", "catalogue-register"),
        full_speed_loads=12,
    ),
}
