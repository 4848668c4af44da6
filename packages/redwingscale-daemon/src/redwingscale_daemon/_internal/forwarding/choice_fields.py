"""What the choice of an upstream was based on, as fields of a log line."""

from typing import Any

from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.first_event_estimate import FirstEventEstimate


def pause_fields(chosen: Candidate) -> dict[str, Any]:
    """Return what is known of the pauses at the chosen upstream."""
    if chosen.pauses is None:
        return {}
    return {
        "broken": round(chosen.pauses.broken, 2),
        "place_ms": round(chosen.pauses.place_ms),
    }


def estimate_fields(estimate: FirstEventEstimate | None) -> dict[str, Any]:
    """Return when the first event is expected, in ms."""
    if estimate is None:
        return {}
    return {
        "expected_ms": round(estimate.expected_ms),
        "spread_ms": round(estimate.spread_ms),
        "slowness": round(estimate.slowness, 2),
    }


def or_dash(value: float | None) -> float | str:
    """Return a rounded value, a dash without one."""
    return "-" if value is None else round(value, 3)
