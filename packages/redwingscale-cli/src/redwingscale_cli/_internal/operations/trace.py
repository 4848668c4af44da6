"""Collects the log lines of several instances that concern one request."""

from collections.abc import Iterable, Iterator
from itertools import groupby
from pathlib import Path
from typing import NamedTuple

from redwingscale_cli._internal.exceptions import ClientError
from redwingscale_cli._internal.models.log_line import LogLine, parse_line

# Events that end a request; their fields state why it ended.
ENDS = frozenset({"request_ended", "caller_left", "caller_too_slow", "request_malformed"})
# Events at any instance that concern the request's unit or upstream, or the whole deployment.
CONTEXT = frozenset(
    {
        "swap_planned",
        "adapter_planned",
        "order_sent",
        "model_loaded",
        "model_unloaded",
        "upstream_leaving",
        "upstream_gone",
        "suspect",
        "quarantined",
        "giver_taken",
        "giver_lost",
        "path_suspected",
        "path_lost",
        "path_lost_here_only",
        "path_restored",
        "store_lost",
        "store_regained",
    }
)
# The clocks of instances may differ by seconds, and a model takes seconds to load.
CONTEXT_SECONDS = 10.0
_REQUEST_NOT_FOUND = "no log line of this request; give the logs of all instances"


class Trace(NamedTuple):
    """The request's own log lines and the related ones in ``context``, each in log order.

    ``tries`` are the begins and ends of other requests for the same stream.
    """

    own: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    tries: tuple[LogLine, ...] = ()

    def end(self) -> LogLine | None:
        """Return the line of the event that ended the request, None if the logs lack it.

        Of a request that was passed on, this is the one at the caller's own instance.
        """
        taken_over = {
            line.instance for line in self.own if line.fields.get("passed_on_by", "-") != "-"
        }
        ends = [line for line in reversed(self.own) if line.event in ENDS]
        first = [line for line in ends if line.instance not in taken_over]
        return next(iter(first or ends), None)


def trace(request: str, files: Iterable[Path]) -> Trace:
    """Return the lines in the logs ``files`` that concern ``request``.

    Raises `ClientError` if a file cannot be read or no line has the request's id.
    """
    lines = [line for file in files for line in read_lines(file)]
    own = tuple(line for line in lines if line.fields.get("request") == request)
    if not own:
        raise ClientError(f"{request}: {_REQUEST_NOT_FOUND}")
    return Trace(own, tuple(_context(own, lines)), tuple(_tries(request, own, lines)))


def read_lines(file: Path) -> Iterator[LogLine]:
    """Yield the events in ``file``; other lines are skipped."""
    try:
        text = file.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise ClientError(f"{file}: {error.strerror}") from error
    for number, line in enumerate(text.splitlines(), 1):
        parsed = parse_line(line, f"{file.name}:{number}")
        if parsed is not None:
            yield parsed


def render(found: Trace) -> Iterator[str]:
    """Yield the lines of the trace as text.

    The request's own lines have times relative to its first line at the same instance, on
    that instance's clock; context lines have times relative to the request's first line of
    all. Lines of two instances are not merged into one order, since their clocks may differ
    by more than the duration of the request.
    """
    for instance, lines in groupby(found.own, key=lambda line: line.instance):
        listed = list(lines)
        yield f"{instance}:"
        yield from (_render(line, listed[0].at) for line in listed)
    if found.tries:
        yield "other requests for the same stream (each on its instance's own clock):"
        yield from (
            f"  {line.instance}  request={line.fields.get('request')}"
            f"  {line.event}  {line.render_fields()}"
            for line in found.tries
        )
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


def _tries(request: str, own: tuple[LogLine, ...], lines: Iterable[LogLine]) -> Iterator[LogLine]:
    """Yield the lines that begin and end the other requests of the stream of ``request``."""
    every = list(lines)
    named = [line.fields.get("resumes", "-") for line in own if line.event == "routed"]
    first = next((one for one in named if one != "-"), request)
    requests = {
        line.fields["request"]
        for line in every
        if line.event == "routed" and line.fields.get("resumes") == first
    }
    others = (requests | {first}) - {request}
    return (
        line
        for line in every
        if line.fields.get("request") in others and line.event in {"routed", *ENDS}
    )


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
