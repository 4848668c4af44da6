"""Checks that an engine's report is plausible, whatever its vendor."""

from collections.abc import Iterator

from redwingscale_common.configuration import Unit

from redwingscale_daemon._internal.exceptions import ReportInvalid
from redwingscale_daemon._internal.models.report import Report

MAX_CAPACITY_BYTES = 1 << 50
MAX_RESIDENTS = 4096
MAX_ORDERS = 65_536
MAX_NAME_CHARACTERS = 512


def check_report(report: Report) -> None:
    """Raise `ReportInvalid` that lists every implausible value in ``report``.

    Routing and memory accounting compute with these numbers: a negative size would
    count as free memory that does not exist.
    """
    findings = [
        *_capacity_findings(report),
        *_resident_findings(report),
        *_load_findings(report),
    ]
    if findings:
        raise ReportInvalid("; ".join(findings))


def _capacity_findings(report: Report) -> Iterator[str]:
    if not 0 < report.capacity_bytes <= MAX_CAPACITY_BYTES:
        yield f"capacity of {report.capacity_bytes} bytes is out of range"
    used = sum(r.size_bytes for r in report.residents)
    if used > report.capacity_bytes:
        yield f"{used} bytes are resident in a capacity of {report.capacity_bytes}"


def _resident_findings(report: Report) -> Iterator[str]:
    if len(report.residents) > MAX_RESIDENTS:
        yield f"{len(report.residents)} resident units are too many"
        return
    if len({r.unit for r in report.residents}) < len(report.residents):
        yield "a unit is listed twice"
    for resident in report.residents:
        if resident.size_bytes < 0:
            yield f"{resident.unit[:MAX_NAME_CHARACTERS]!r} has a size of {resident.size_bytes} bytes"
        if not _is_unit(resident.unit):
            yield f"{resident.unit[:MAX_NAME_CHARACTERS]!r} is not a unit"


def _load_findings(report: Report) -> Iterator[str]:
    if report.running < 0 or report.waiting < 0:
        yield f"request counts are negative: {report.running} running, {report.waiting} waiting"
    if report.slots < 1:
        yield f"{report.slots} slots are too few"
    if report.fence < 0:
        yield f"fence {report.fence} is negative"
    if len(report.orders) > MAX_ORDERS:
        yield f"{len(report.orders)} orders are too many"


def _is_unit(text: str) -> bool:
    try:
        Unit.parse(text)
    except ValueError:
        return False
    return len(text) <= MAX_NAME_CHARACTERS
