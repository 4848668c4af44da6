"""Parses the lines of an instance's log."""

import re
from datetime import datetime
from typing import NamedTuple

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_START = "time="


class LogLine(NamedTuple):
    """A parsed log line.

    ``place`` is FILE:LINE; ``at`` is the Unix time in seconds on the instance's own clock.
    """

    place: str
    at: float
    event: str
    instance: str
    fields: dict[str, str]

    def render_fields(self) -> str:
        """Return the fields as key=value pairs, without those that are shown otherwise."""
        shown = (
            f"{key}={value}" for key, value in self.fields.items() if key not in _HIDDEN_FIELDS
        )
        return " ".join(shown)


_HIDDEN_FIELDS = frozenset({"time", "level", "event", "instance", "request"})


def parse_line(text: str, place: str) -> LogLine | None:
    """Return the parsed line, None if ``text`` is not an event; text before the time is ignored."""
    start = text.find(_START)
    if start < 0:
        return None
    fields = dict(_PAIR.findall(text[start:]))
    try:
        at = datetime.strptime(fields["time"], "%Y-%m-%dT%H:%M:%S.%f%z").timestamp()
    except (KeyError, ValueError):
        return None
    return LogLine(place, at, fields.get("event", ""), fields.get("instance", ""), fields)
