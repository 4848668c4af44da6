"""``redwingscale upstreams``."""

from typing import Any

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json, print_table

GIGABYTE = 1_000_000_000
HEADER = ("ENGINE", "DOMAIN", "VENDOR", "STATE", "UNITS", "GB USED", "GB", "RUNNING", "WAITING")


def run(context: CommandContext) -> None:
    """Print each engine with its state, memory use and load."""
    upstreams = context.client().get("/upstreams")
    if context.as_json:
        print_json(upstreams)
        return
    print_table(HEADER, [_row(engine, item) for engine, item in sorted(upstreams.items())])


def _row(engine: str, item: dict[str, Any]) -> tuple[object, ...]:
    digest = item["digest"]
    if digest is None:
        return (engine, item["failure_domain"], item["vendor"], "unknown", "-", "-", "-", "-", "-")
    used = sum(size for _, size, _ in digest["residents"])
    return (
        engine,
        item["failure_domain"],
        item["vendor"],
        "leaving" if item["leaving"] else "live",
        len(digest["residents"]),
        f"{used / GIGABYTE:.1f}",
        f"{digest['capacity_bytes'] / GIGABYTE:.1f}",
        digest["running"],
        digest["waiting"],
    )
