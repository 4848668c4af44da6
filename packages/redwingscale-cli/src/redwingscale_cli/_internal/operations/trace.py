"""Joins the lines of several instances for one request."""

from collections.abc import Iterable, Iterator
from itertools import groupby
from pathlib import Path
from typing import NamedTuple

from redwingscale_cli._internal.exceptions import ClientError
from redwingscale_cli._internal.models.log_line import LogLine, parse_line

# Events that end a request, and so name the decision that did.
ENDS = frozenset({"request_ended", "caller_left", "request_malformed"})
# What other instances did for the unit that the request asked for, or to its upstream.
CONTEXT = frozenset(
    {
        "swap_planned",
        "adapter_planned",
        "order_sent",
        "model_loaded",
        "model_unloaded",
        "upstream_leaving",
        "upstream_gone",
        "giver_taken",
        "giver_lost",
        "store_lost",
        "store_regained",
    }
)
# Clocks of instances may differ by seconds, and a load takes some.
CONTEXT_SECONDS = 10.0
_REQUEST_NOT_FOUND = "no line of this request; were the logs of all instances given?"


class Trace(NamedTuple):
    """The request's own lines, and those of others that explain them; each in log order."""

    own: tuple[LogLine, ...]
    context: tuple[LogLine, ...]

    def end(self) -> LogLine | None:
        """Return the line of the decision that ended the request, None if it is not there."""
        return next((line for line in reversed(self.own) if line.event in ENDS), None)


def trace(request: str, files: Iterable[Path]) -> Trace:
    """Return what the logs in ``files`` tell about ``request``; raise `ClientError`."""
    lines = [line for file in files for line in read_lines(file)]
    own = tuple(line for line in lines if line.fields.get("request") == request)
    if not own:
        raise ClientError(f"{request}: {_REQUEST_NOT_FOUND}")
    return Trace(own, tuple(_context(own, lines)))


def read_lines(file: Path) -> Iterator[LogLine]:
    """Yield the events in ``file``; other text is passed over."""
    try:
        text = file.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise ClientError(f"{file}: {error.strerror}") from error
    for number, line in enumerate(text.splitlines(), 1):
        parsed = parse_line(line, f"{file.name}:{number}")
        if parsed is not None:
            yield parsed


def render(found: Trace) -> Iterator[str]:
    """Yield the trace as text.

    Times count from the request's first line at each instance, on that
    instance's clock: lines of two instances are never put in one order, as
    their clocks may differ by more than the request lasted.
    """
    for instance, lines in groupby(found.own, key=lambda line: line.instance):
        listed = list(lines)
        yield f"{instance}:"
        yield from (_render(line, listed[0].at) for line in listed)
    by_instance = sorted(found.context, key=lambda line: line.instance)
    for instance, lines in groupby(by_instance, key=lambda line: line.instance):
        yield f"meanwhile at {instance} (its own clock):"
        yield from (_render(line, found.own[0].at) for line in lines)
    end = found.end()
    if end is None:
        yield "not ended in these logs"
    else:
        yield f"ended by {end.event} at {end.place}: {end.render_fields()}"


def _render(line: LogLine, since: float) -> str:
    return f"  {line.at - since:+8.3f}  {line.event}  {line.render_fields()}"


def _context(own: tuple[LogLine, ...], lines: Iterable[LogLine]) -> Iterator[LogLine]:
    units = {unit.split("/")[0] for line in own if (unit := line.fields.get("unit", "-")) != "-"}
    upstreams = {line.fields["upstream"] for line in own if "upstream" in line.fields}
    first, last = own[0].at, own[-1].at
    for line in lines:
        near = first - CONTEXT_SECONDS <= line.at <= last + CONTEXT_SECONDS
        if near and line.event in CONTEXT and _is_related(line, units, upstreams):
            yield line


def _is_related(line: LogLine, units: set[str], upstreams: set[str]) -> bool:
    fields = line.fields
    if "unit" not in fields and "model" not in fields and "upstream" not in fields:
        return True
    named = {fields.get("model", ""), fields.get("unit", "").split("/")[0]}
    evicted = set(fields.get("evicted", "").split(","))
    return bool(units & (named | evicted)) or fields.get("upstream") in upstreams
