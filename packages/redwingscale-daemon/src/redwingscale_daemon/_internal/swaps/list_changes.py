"""The recent changes of the upstream list, for the updates that the leader sends."""

import time
from collections.abc import Collection, Iterable
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.list_digest import list_digest, listing
from redwingscale_daemon._internal.fleet.list_update import ListUpdate, make_list_update
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# Each change is repeated for this long: an update may be lost, and the next one may come
# a second later. An instance without updates for longer reads the list itself.
LIST_CHANGE_REPEAT_SECONDS = 3.0
# How many upstreams of its initial list a new leader puts into each of its first updates.
INITIAL_UPSTREAMS_PER_UPDATE = 8


class _Listed(NamedTuple):
    """An upstream as last listed, None once it is gone, and the time of that change."""

    upstream: Upstream | None
    changed_at: float


class ListChanges:
    """Compares each list with the previous one and repeats each change for some seconds."""

    def __init__(self) -> None:
        self._listed_by_id: dict[str, _Listed] = {}
        self._initial_ids: list[str] = []

    def begin_with(self, listed: Iterable[Upstream]) -> None:
        """Take the initial list of a new leader; it is sent once, in pieces.

        Repeating the whole list in each update for some seconds would fill the leader's link
        if there are many upstreams and instances: its own calls to the store would get no
        response, and it would lose the lease that it has just taken. An instance with a
        different list detects that by the digest and reads the store.
        """
        by_id = {upstream.id: upstream for upstream in listed}
        self._listed_by_id = {key: _Listed(one, float("-inf")) for key, one in by_id.items()}
        self._initial_ids = [*by_id]

    def make_update(self, directory: UpstreamDirectory, age: float) -> ListUpdate:
        """Return the update for the list in ``directory``, which was read ``age`` seconds ago."""
        copy = directory.copy
        listed = copy.listed()
        changed, gone = self.of(listed, copy.kept)
        digest = list_digest(listed) if copy.kept else copy.digest
        return make_list_update(changed, gone, age, digest, copy.version)

    def of(
        self, listed: Iterable[Upstream], kept: Collection[str] = ()
    ) -> tuple[list[Upstream], list[str]]:
        """Return the upstreams added or changed lately, and the ids of those gone.

        Upstreams that are ``kept`` here although the list lacks them are left out: each
        instance decides about them itself. If they were sent as listed, instances that have
        read of their removal would add them again; if they were sent as gone, all instances
        would drop upstreams whose entries only lapsed while the store was unavailable.
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
