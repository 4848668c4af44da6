"""Compares two configuration texts by JSON path."""

import json
import re
from collections.abc import Iterator
from typing import Any, NamedTuple

_PLAIN_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")


class Change(NamedTuple):
    """A value that differs; ``before`` or ``after`` is None if the value is absent there."""

    place: str
    before: Any
    after: Any

    @property
    def kind(self) -> str:
        """The kind of change: ``added``, ``removed`` or ``changed``."""
        if self.before is None:
            return "added"
        return "removed" if self.after is None else "changed"

    def render(self) -> str:
        """Return the change as one line of text for users."""
        if self.kind == "changed":
            return f"{self.place}: {json.dumps(self.before)} -> {json.dumps(self.after)}"
        return f"{self.place}: {self.kind}"


def diff_texts(before: str, after: str) -> list[Change]:
    """Return the changes from ``before`` to ``after``, each a JSON object or an empty text.

    Objects are compared key by key, lists as a whole. A null counts as absent, since the
    configuration's schema allows no null.
    """
    return list(_changes("$", json.loads(before or "{}"), json.loads(after or "{}")))


def _changes(place: str, before: Any, after: Any) -> Iterator[Change]:
    if not (isinstance(before, dict) and isinstance(after, dict)):
        if before != after:
            yield Change(place, before, after)
        return
    for name in sorted(before.keys() | after.keys()):
        yield from _changes(_child(place, name), before.get(name), after.get(name))


def _child(place: str, name: str) -> str:
    return f"{place}.{name}" if _PLAIN_NAME.fullmatch(name) else f"{place}[{name!r}]"
