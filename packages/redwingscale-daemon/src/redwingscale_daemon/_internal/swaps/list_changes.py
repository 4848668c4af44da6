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
LIST_CHANGE_REPEAT_SECONDS = 3.0
# How many upstreams of the list that a giver begins with each of its first news tells.
INITIAL_UPSTREAMS_PER_UPDATE = 8


class _Listed(NamedTuple):
    """An upstream as listed last, None once it is gone, and when that changed."""

    upstream: Upstream | None
    changed_at: float


class ListChanges:
    """Compares one list with the next; each change is told for some seconds."""

    def __init__(self) -> None:
        self._listed_by_id: dict[str, _Listed] = {}
        self._initial_ids: list[str] = []

    def begin_with(self, listed: Iterable[Upstream]) -> None:
        """Take the list that an order giver begins with; it is told once, in pieces.

        Told whole in each message for some seconds, the list of many upstreams to many
        instances takes most of the giver's link: its own calls to the store get no
        answer, and it loses the lease that it has just taken. An instance whose list is
        another one sees so by the digest and reads the store.
        """
        by_id = {upstream.id: upstream for upstream in listed}
        self._listed_by_id = {key: _Listed(one, float("-inf")) for key, one in by_id.items()}
        self._initial_ids = [*by_id]

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
            entry = self._listed_by_id.get(key)
            if entry is None or entry.upstream is None or _differ(entry.upstream, upstream):
                self._listed_by_id[key] = _Listed(upstream, now)
        for key in self._listed_by_id.keys() - by_id.keys() - set(kept):
            if self._listed_by_id[key].upstream is not None:
                self._listed_by_id[key] = _Listed(None, now)
        recent = {
            key: entry
            for key, entry in self._listed_by_id.items()
            if now - entry.changed_at < LIST_CHANGE_REPEAT_SECONDS
        }
        for key in self._listed_by_id.keys() - recent.keys() - by_id.keys() - set(kept):
            del self._listed_by_id[key]
        changed = [
            entry.upstream
            for key, entry in recent.items()
            if entry.upstream is not None and key in by_id
        ]
        initial_ids, self._initial_ids = (
            self._initial_ids[:INITIAL_UPSTREAMS_PER_UPDATE],
            self._initial_ids[INITIAL_UPSTREAMS_PER_UPDATE:],
        )
        changed += [by_id[key] for key in initial_ids if key in by_id and key not in recent]
        return changed, [key for key, entry in recent.items() if entry.upstream is None]


def _differ(one: Upstream, other: Upstream) -> bool:
    return listing(one) != listing(other)
