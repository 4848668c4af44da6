"""The sums of the capacity page: slopes times the size to design for."""

from collections.abc import Mapping
from typing import NamedTuple

from benchmarks.lib.design_size import DESIGN
from benchmarks.lib.slope import Fitted, pick

REFRESH_SECONDS = 4.0
SESSION_RENEWAL_SECONDS = 2.5
SECONDS_A_DAY = 86_400.0
WRITES_A_MOVE = 2.0
WRITES_A_CLAIM = 2.0
WRITES_A_CHANGE = 2.0


class Term(NamedTuple):
    """One part of a sum, with how it was worked out."""

    role: str
    value: float
    how: str


def digests_per_second() -> float:
    """Return the digests told in the whole deployment when load is quiet."""
    return DESIGN.engines / REFRESH_SECONDS


def cpu_terms(fits: Mapping[str, Fitted]) -> list[Term]:
    """Return the parts of control's processor time at a node, in percent of a core."""
    owner, member = fits["owner_cpu"].line, fits["member_cpu"].line
    per_domain = DESIGN.nodes / DESIGN.failure_domains
    digests = digests_per_second()
    digest_us = fits["digest_cpu"].line.at(DESIGN.engines)
    return [
        Term("an instance that owns nothing", owner.base, "base of owner_cpu"),
        Term(
            "owner of upstreams",
            owner.slope * DESIGN.engines_per_node,
            f"{owner.slope:.3f} x {DESIGN.engines_per_node:.2f} engines",
        ),
        Term(
            "membership, quiet",
            max(0.0, member.slope) * per_domain,
            f"{max(0.0, member.slope):.4f} x {per_domain:.0f} instances of a failure domain",
        ),
        Term(
            "membership, digests of engines",
            entry_cpu_percent() * digests,
            f"{entry_cpu_percent():.4f} x {digests:.0f} digests/s",
        ),
        Term(
            "directory",
            digest_us * digests / 1e6 * 100,
            f"{digest_us:.0f} us x {digests:.0f} digests/s",
        ),
    ]


def byte_terms(fits: Mapping[str, Fitted]) -> list[Term]:
    """Return the parts of control's bytes sent at a node, in bytes a second."""
    quiet = pick(
        "membership",
        "bytes_sent_per_second",
        instances=60,
        failure_domains=6,
        entries_per_second=0.0,
    )
    digests = digests_per_second()
    return [
        Term("membership, quiet", quiet, "as measured at 60 instances in 6 failure domains"),
        Term(
            "membership, digests of engines",
            entry_bytes() * digests,
            f"{entry_bytes():.0f} B x {digests:.0f} digests/s",
        ),
    ]


def read_terms(fits: Mapping[str, Fitted]) -> list[Term]:
    """Return the reads of the platform's table a second."""
    instance, owner = fits["instance_reads"].line.slope, fits["owner_reads"].line.slope
    return [
        Term(
            "instances: pointer, plan, sessions", instance * DESIGN.nodes, f"{instance:.2f} x 370"
        ),
        Term("owners, for each engine", owner * DESIGN.engines, f"{owner:.3f} x 910"),
    ]


def write_terms(fits: Mapping[str, Fitted]) -> list[Term]:
    """Return the writes of the platform's table a second, claims apart."""
    instance = fits["instance_writes"].line.slope
    changes = DESIGN.changes_per_day * WRITES_A_CHANGE / SECONDS_A_DAY
    restarts = DESIGN.node_restarts_per_day + DESIGN.node_failures_per_day
    takeovers = restarts * DESIGN.engines_per_node * 2 / SECONDS_A_DAY
    return [
        Term("sessions", instance * DESIGN.nodes, f"{instance:.3f} x 370"),
        Term("configuration", changes, "1,400 changes a day, pointer and history"),
        Term("ownership", takeovers, "262 failures and restarts a day, two changes of each owner"),
    ]


def total(terms: list[Term]) -> float:
    """Return the sum of ``terms``."""
    return sum(term.value for term in terms)


def entry_bytes() -> float:
    """Return what one entry told in the fleet costs each instance, in bytes sent."""
    return _busy_less_quiet("bytes_sent_per_second")


def entry_cpu_percent() -> float:
    """Return what one entry a second costs each instance, in percent of a core."""
    return _busy_less_quiet("cpu_percent_of_a_core")


def _busy_less_quiet(field: str) -> float:
    rate = 20.0
    sizes = {"instances": 60, "failure_domains": 6}
    busy = pick("membership", field, **sizes, entries_per_second=rate)
    quiet = pick("membership", field, **sizes, entries_per_second=0.0)
    return (busy - quiet) / rate
