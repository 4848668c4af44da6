"""Members of the deployment, as listed by the platform."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class InstanceMember:
    """An instance of the system; it is ``leaving`` if it is about to be stopped."""

    id: str
    failure_domain: str
    region: str
    leaving: bool
    callers_url: str
    operators_url: str
    peers_url: str


@dataclass(frozen=True, slots=True)
class EngineMember:
    """An upstream engine; the list also has the guarantees of its vendor.

    ``late_order_seconds`` is the longest time after which an order can still take
    effect, for an engine that ignores fencing numbers.
    """

    id: str
    failure_domain: str
    leaving: bool
    url: str
    vendor: str
    accelerators: int
    checks_fencing: bool
    late_order_seconds: float


@dataclass(frozen=True, slots=True)
class PlainMember:
    """An upstream of the plain service ``service``."""

    id: str
    failure_domain: str
    leaving: bool
    url: str
    service: str


Member = InstanceMember | EngineMember | PlainMember


def parse_member(item: dict[str, Any]) -> Member:
    """Return the member in a list item; raise KeyError or ValueError if it is malformed."""
    leaving = item["state"] != "live"
    match item["kind"]:
        case "instance":
            return InstanceMember(
                id=item["id"],
                failure_domain=item["failure_domain"],
                region=item["region"],
                leaving=leaving,
                callers_url=item["callers_url"],
                operators_url=item["operators_url"],
                peers_url=item["peers_url"],
            )
        case "engine":
            return EngineMember(
                id=item["id"],
                failure_domain=item["failure_domain"],
                leaving=leaving,
                url=item["url"],
                vendor=item["vendor"],
                accelerators=item["accelerators"],
                checks_fencing=item["checks_fencing"],
                late_order_seconds=item["late_order_seconds"],
            )
        case "plain":
            return PlainMember(
                id=item["id"],
                failure_domain=item["failure_domain"],
                leaving=leaving,
                url=item["url"],
                service=item["service"],
            )
    raise ValueError(f"member {item['id']!r} has unknown kind {item['kind']!r}")
