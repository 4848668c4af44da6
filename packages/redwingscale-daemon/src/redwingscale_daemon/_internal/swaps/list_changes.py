"""Which upstreams the list has changed lately."""

import time
from collections.abc import Collection, Iterable
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.list_digest import list_digest, listing
from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# A message may be lost and the next one come a second later; an instance that hears
# nothing for longer reads the list itself.
TOLD_SECONDS = 3.0
# How many upstreams of the list that a giver begins with each of its first news tells.
FIRST_TOLD_EACH = 8


class _Known(NamedTuple):
    """An upstream as listed last, None once it is gone, and when that changed."""

    upstream: Upstream | None
    changed_at: float


class ListChanges:
    """Compares one list with the next; each change is told for some seconds."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._first: list[str] = []

    def begin_with(self, listed: Iterable[Upstream]) -> None:
        """Take the list that an order giver begins with; it is told once, in pieces.

        Told whole in each message for some seconds, the list of many upstreams to many
        instances takes most of the giver's link: its own calls to the store get no
        answer, and it loses the lease that it has just taken. An instance whose list is
        another one sees so by the digest and reads the store.
        """
        by_id = {upstream.id: upstream for upstream in listed}
        self._known = {key: _Known(one, float("-inf")) for key, one in by_id.items()}
        self._first = [*by_id]

    def make_update(self, directory: UpstreamDirectory, age: float) -> ListUpdate:
        """Return what to tell of ``directory``, whose list was read ``age`` seconds ago."""
        copy = directory.copy
        listed = copy.listed()
        changed, gone = self.of(listed, copy.kept)
        digest = list_digest(listed) if copy.kept else copy.digest
        return ListUpdate(changed, gone, age, digest, copy.version)

    def of(
        self, listed: Iterable[Upstream], kept: Collection[str] = ()
    ) -> tuple[list[Upstream], list[str]]:
        """Return the upstreams that have come or changed lately, and the ids of those gone.

        Of those that are ``kept`` here, though the list lacks them, nothing is told: each
        instance decides for itself. Told as listed, one that had left came back to
        instances that had read so; told as gone, all would be dropped that have only
        lapsed while the store was away.
        """
        now = time.monotonic()
        by_id = {upstream.id: upstream for upstream in listed}
        for key, upstream in by_id.items():
            known = self._known.get(key)
            if known is None or known.upstream is None or _differ(known.upstream, upstream):
                self._known[key] = _Known(upstream, now)
        for key in self._known.keys() - by_id.keys() - set(kept):
            if self._known[key].upstream is not None:
                self._known[key] = _Known(None, now)
        recent = {
            key: known
            for key, known in self._known.items()
            if now - known.changed_at < TOLD_SECONDS
        }
        for key in self._known.keys() - recent.keys() - by_id.keys() - set(kept):
            del self._known[key]
        changed = [
            known.upstream
            for key, known in recent.items()
            if known.upstream is not None and key in by_id
        ]
        first, self._first = self._first[:FIRST_TOLD_EACH], self._first[FIRST_TOLD_EACH:]
        changed += [by_id[key] for key in first if key in by_id and key not in recent]
        return changed, [key for key, known in recent.items() if known.upstream is None]


def _differ(one: Upstream, other: Upstream) -> bool:
    return listing(one) != listing(other)
