"""The upstreams that requests can be sent to."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.gone_upstreams import GoneUpstreams
from redwingscale_daemon._internal.fleet.leaving_upstreams import LeavingUpstreams
from redwingscale_daemon._internal.fleet.list_digest import list_digest
from redwingscale_daemon._internal.fleet.list_log import log_changes
from redwingscale_daemon._internal.fleet.residency import AdaptersByModel, Residency
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.store.store_version import NOTHING_READ, StoreVersion

GoneListener = Callable[[set[str]], None]
UndoneListener = Callable[[list[str]], None]
ListListener = Callable[[Iterable[Upstream], Iterable[Upstream]], None]
# Called with the current upstreams by id, returns the new list.
MakeList = Callable[[dict[str, Upstream]], Iterable[Upstream]]


class ListCopy(NamedTuple):
    """This instance's copy of the list, and its `list_digest`.

    ``version`` is that of the store when the list was read, here or by the leader. ``kept``
    are the ids of upstreams that were missing from the list when it was read here but are
    still used. They count in the digest, so that the leader's updates don't replace reads
    until these upstreams are listed again or dropped.
    """

    by_id: dict[str, Upstream]
    digest: int
    version: StoreVersion
    kept: frozenset[str] = frozenset()

    def listed(self) -> list[Upstream]:
        """Return the upstreams that the store lists."""
        return [upstream for key, upstream in self.by_id.items() if key not in self.kept]


class UpstreamDirectory:
    """Upstreams by id, as last listed, with residency that is newer than the list.

    Lists come from two threads, one that reads the store and one that receives the
    leader's updates, and in any order. A list that is older than the copy is ignored, as it
    would bring back an upstream that has left. An upstream that is leaving by any source, the
    list or its own answers, takes no new work whatever the other sources say. One that was
    removed is taken for leaving if only an older copy of the store lists it.
    """

    def __init__(self, residency: Residency, changes: Changes) -> None:
        self._lock = threading.Lock()
        self._residency = residency
        self._changes = changes
        self._copy = ListCopy({}, list_digest(()), NOTHING_READ)
        self._read_at = float("-inf")
        self._leaving = LeavingUpstreams()
        self._gone = GoneUpstreams()
        self._gone_listeners: list[GoneListener] = []
        self._list_listeners: list[ListListener] = []
        self._undone_listeners: list[UndoneListener] = []

    def on_gone(self, listener: GoneListener) -> None:
        """Call ``listener`` with the ids of upstreams that are no longer listed."""
        self._gone_listeners.append(listener)

    def on_list(self, listener: ListListener) -> None:
        """Call ``listener`` with the upstreams of each former list and of the new one."""
        self._list_listeners.append(listener)

    def on_undone(self, listener: UndoneListener) -> None:
        """Call ``listener`` with leaving upstreams that the first list of an era has as ready."""
        self._undone_listeners.append(listener)

    def replace(
        self,
        listed: Iterable[Upstream],
        version: StoreVersion = NOTHING_READ,
        kept: Iterable[Upstream] = (),
        begun_at: float | None = None,
    ) -> bool:
        """Take a full list that was read at ``version``; return False if it is outdated.

        Upstreams in ``kept`` are used as well, although they are missing from the list. The read
        began at the monotonic time ``begun_at``, by default now.
        """
        kept_by_id = {upstream.id: upstream for upstream in kept}
        upstreams = [*listed, *kept_by_id.values()]
        taken = self._take(lambda _: upstreams, version, frozenset(kept_by_id))
        if taken:
            self._read_at = time.monotonic() if begun_at is None else begun_at
        return taken

    def update(
        self,
        changed: Iterable[Upstream],
        gone: Iterable[str],
        version: StoreVersion = NOTHING_READ,
    ) -> bool:
        """Take changes to the list: new or changed upstreams, and the ids of those gone."""
        changed_by_id = {upstream.id: upstream for upstream in changed}
        dropped = set(gone)

        def apply_changes(before: dict[str, Upstream]) -> Iterable[Upstream]:
            for key, upstream in changed_by_id.items():
                if upstream.software is None and key in before:
                    changed_by_id[key] = upstream._replace(software=before[key].software)
            others = {key: one for key, one in before.items() if key not in dropped}
            return {**others, **changed_by_id}.values()

        return self._take(apply_changes, version)

    def _take(
        self, make: MakeList, version: StoreVersion, kept: frozenset[str] | None = None
    ) -> bool:
        """Replace the copy by what ``make`` returns for it; return False if it is newer.

        Runs under one lock: changes that are merged into a copy which another thread
        replaces meanwhile would bring back upstreams that the other one has dropped.
        """
        with self._lock:
            before = self._copy
            if version < before.version:
                return False
            after = _newest_starts(make(before.by_id), before.by_id.values())
            kept = before.kept if kept is None else kept
            self._copy = ListCopy(after, list_digest(after.values()), version, kept)
            new_leaving = self._leaving.note([k for k, one in after.items() if one.leaving])
            gone = [one for key, one in before.by_id.items() if key not in after]
            # Kept entries that were not listed in this era may only have lapsed.
            removed_ids = [
                one.id for one in gone if one.id not in before.kept or one.era == version.era
            ]
            self._gone.note(removed_ids, version)
            removed = self._leaving.note(self._gone.listed_by_copy(after.values()))
            self._leaving.follow(after.keys())
        for key in removed:
            log_event("upstream_leaving", upstream=key, seconds_left=None, source="removed before")
        if version.era > before.version.era:
            self._announce_undone(version.era)
        self._announce(before.by_id, after, new_leaving)
        return True

    def _announce_undone(self, era: int) -> None:
        undone = self.leaving_unlisted()
        if undone:
            log_event("leaving_undone", level="WARNING", era=era, upstreams=",".join(undone))
            for listener in self._undone_listeners:
                listener(undone)

    def _announce(
        self, before: dict[str, Upstream], after: dict[str, Upstream], leaving: set[str]
    ) -> None:
        log_changes(before, after, leaving)
        for note_list in self._list_listeners:
            note_list(before.values(), after.values())
        gone = before.keys() - after.keys()
        if gone:
            for listener in self._gone_listeners:
                listener(gone)
        if gone or leaving or after.keys() - before.keys() or _residency_differs(before, after):
            self._changes.notify()

    def note_leaving(self, upstream_ids: Iterable[str], source: str) -> None:
        """Note from another ``source`` than the list that upstreams are leaving.

        The entry of an upstream that cannot reach the store stays unchanged for long.
        """
        with self._lock:
            new = self._leaving.note([key for key in upstream_ids if self.lists(key)])
        for key in new:
            log_event("upstream_leaving", upstream=key, seconds_left=None, source=source)
        if new:
            self._changes.notify()

    def leaving_seconds(self, upstream_id: str) -> float | None:
        """Return for how many seconds ``upstream_id`` is known to be leaving, None if not."""
        return self._leaving.seconds(upstream_id)

    def leaving_unlisted(self) -> list[str]:
        """Return the ids of leaving upstreams whose entries do not say that they leave."""
        listed = self._copy.by_id
        return [key for key, one in listed.items() if not one.leaving and key in self._leaving]

    @property
    def copy(self) -> ListCopy:
        """The current copy of the list, with its digest."""
        return self._copy

    def get(self, upstream_id: str) -> Upstream | None:
        """Return one upstream, None if it is not listed."""
        return self._copy.by_id.get(upstream_id)

    def lists(self, upstream_id: str) -> bool:
        """Return whether an upstream is listed."""
        return upstream_id in self._copy.by_id

    def all(self) -> list[Upstream]:
        """Return all listed upstreams, leaving or not."""
        return list(self._copy.by_id.values())

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of ``service`` that take new work."""
        leaving = self._leaving
        return [
            upstream
            for upstream in self._copy.by_id.values()
            if upstream.service == service and upstream.id not in leaving
        ]

    def holders(self, service: str, unit: Unit) -> list[Upstream]:
        """Return the usable upstreams where ``unit`` is resident."""
        return [u for u in self.usable(service) if _is_resident(self.resident(u), unit)]

    def resident(self, upstream: Upstream) -> AdaptersByModel:
        """Return the resident adapters by model of ``upstream``, from the latest source."""
        resident = self._residency.resident(upstream.id, self._read_at)
        if resident is not None:
            return resident
        return {model.name: model.adapters for model in upstream.models_by_name.values()}


def _newest_starts(upstreams: Iterable[Upstream], known: Iterable[Upstream]) -> dict[str, Upstream]:
    """Return ``upstreams`` by id, each name once, never from an older entry than in ``known``.

    A stale read of the list, here or by the leader, names a start that has ended: requests
    would be sent to a process as if it had the residency of the former one. The entry with
    the lower row version is replaced.
    """
    newest = {one.platform_name: one for one in known}
    listed: dict[str, Upstream] = {}
    for upstream in upstreams:
        other = listed.get(upstream.platform_name) or newest.get(upstream.platform_name)
        older = other is not None and upstream.row_version < other.row_version
        listed[upstream.platform_name] = other if other is not None and older else upstream
    return {upstream.id: upstream for upstream in listed.values()}


def _is_resident(resident: AdaptersByModel, unit: Unit) -> bool:
    adapters = resident.get(unit.model)
    return adapters is not None and (not unit.adapter or unit.adapter in adapters)


def _residency_differs(before: dict[str, Upstream], after: dict[str, Upstream]) -> bool:
    return any(
        key in before and before[key].models_by_name != upstream.models_by_name
        for key, upstream in after.items()
    )
