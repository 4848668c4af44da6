"""The upstreams that requests can go to."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.leaving_upstreams import LeavingUpstreams
from redwingscale_daemon._internal.fleet.list_digest import list_digest
from redwingscale_daemon._internal.fleet.residency import AdaptersByModel, Residency
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream

GoneListener = Callable[[set[str]], None]
# From the upstreams known by id.
MakeList = Callable[[dict[str, Upstream]], Iterable[Upstream]]


class ListCopy(NamedTuple):
    """The list as this instance knows it, and its `list_digest`.

    ``version`` is that of the store's rows as of which it was read, here or by the
    order giver. ``kept`` are the ids of those that the list lacked when it was read here:
    they count in the digest, so that the order giver's news don't stand in for reads
    until they are back or dropped.
    """

    by_id: dict[str, Upstream]
    digest: int
    version: int
    kept: frozenset[str] = frozenset()

    def listed(self) -> list[Upstream]:
        """Return those that the store lists."""
        return [upstream for key, upstream in self.by_id.items() if key not in self.kept]


class UpstreamDirectory:
    """Upstreams by id, as last listed, with the holdings that are newer than the list.

    Lists come from two threads, as read here and as the order giver tells it, and in any
    order. Versions of rows only rise: what is older than the copy is not taken, else it
    would bring back an upstream that has left. An upstream that leaves by any source,
    the list or its own answers, takes no new work whatever the others say.
    """

    def __init__(self, residency: Residency, changes: Changes) -> None:
        self._lock = threading.Lock()
        self._residency = residency
        self._changes = changes
        self._copy = ListCopy({}, list_digest(()), 0)
        self._read_at = float("-inf")
        self._leaving = LeavingUpstreams()
        self._gone_listeners: list[GoneListener] = []

    def on_gone(self, listener: GoneListener) -> None:
        """Call ``listener`` with the ids of upstreams that are no longer listed."""
        self._gone_listeners.append(listener)

    def replace(
        self, listed: Iterable[Upstream], version: int = 0, kept: Iterable[Upstream] = ()
    ) -> bool:
        """Take a whole list that was read as of ``version``; return whether it is the newest.

        ``kept`` are to be used, too, though the list lacks them.
        """
        kept_by_id = {upstream.id: upstream for upstream in kept}
        upstreams = [*listed, *kept_by_id.values()]
        taken = self._take(lambda _: upstreams, version, frozenset(kept_by_id))
        if taken:
            self._read_at = time.monotonic()
        return taken

    def update(self, changed: Iterable[Upstream], gone: Iterable[str], version: int = 0) -> bool:
        """Take changes to the list: upstreams that have come or changed, ids of those gone."""
        changed_by_id = {upstream.id: upstream for upstream in changed}
        dropped = set(gone)

        def changed_list(known: dict[str, Upstream]) -> Iterable[Upstream]:
            others = {key: one for key, one in known.items() if key not in dropped}
            return {**others, **changed_by_id}.values()

        return self._take(changed_list, version)

    def _take(self, make: MakeList, version: int, kept: frozenset[str] | None = None) -> bool:
        """Take what ``make`` returns for the list as it is known, unless that is newer.

        All under one lock: changes that were merged into a list which another thread
        has replaced meanwhile would bring back what that has dropped.
        """
        with self._lock:
            before = self._copy
            if version < before.version:
                return False
            # Of two starts under one name the newer one counts.
            after = _newest_starts(make(before.by_id), before.by_id.values())
            kept = before.kept if kept is None else kept
            self._copy = ListCopy(after, list_digest(after.values()), version, kept)
            new_leaving = self._leaving.note([k for k, one in after.items() if one.leaving])
            self._leaving.follow(after.keys())
        self._announce(before.by_id, after, new_leaving)
        return True

    def _announce(
        self, before: dict[str, Upstream], after: dict[str, Upstream], leaving: set[str]
    ) -> None:
        _log_changes(before, after, leaving)
        gone = before.keys() - after.keys()
        if gone:
            for listener in self._gone_listeners:
                listener(gone)
        if gone or leaving or after.keys() - before.keys() or _held_differs(before, after):
            self._changes.notify()

    def note_leaving(self, upstream_ids: Iterable[str], source: str) -> None:
        """Take from another ``source`` than the list that upstreams leave.

        The entry of one that cannot reach the store says for long that it takes work.
        """
        with self._lock:
            new = self._leaving.note([key for key in upstream_ids if self.lists(key)])
        for key in new:
            log_event("upstream_leaving", upstream=key, seconds_left=None, source=source)
        if new:
            self._changes.notify()

    def leaving_seconds(self, upstream_id: str) -> float | None:
        """Return how long it is known that ``upstream_id`` leaves, None if it does not."""
        return self._leaving.seconds(upstream_id)

    def leaving_unlisted(self) -> list[str]:
        """Return the ids of those that leave while their entries say that they take work."""
        listed = self._copy.by_id
        return [key for key, one in listed.items() if not one.leaving and key in self._leaving]

    @property
    def copy(self) -> ListCopy:
        """All that are listed, with their digest."""
        return self._copy

    def get(self, upstream_id: str) -> Upstream | None:
        """Return one upstream, None if it isn't listed."""
        return self._copy.by_id.get(upstream_id)

    def lists(self, upstream_id: str) -> bool:
        """Return whether an upstream is listed."""
        return upstream_id in self._copy.by_id

    def all(self) -> list[Upstream]:
        """Return all that are listed, leaving or not."""
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
        """Return the usable upstreams that hold ``unit``."""
        return [u for u in self.usable(service) if _holds(self.resident(u), unit)]

    def resident(self, upstream: Upstream) -> AdaptersByModel:
        """Return the adapters by model of ``upstream``, from the newest source."""
        told = self._residency.resident(upstream.id, self._read_at)
        if told is not None:
            return told
        return {model.name: model.adapters for model in upstream.models_by_name.values()}


def _newest_starts(upstreams: Iterable[Upstream], known: Iterable[Upstream]) -> dict[str, Upstream]:
    """Return ``upstreams`` by id, each name once, never from an older entry than is known.

    A list that is read from behind, or news of an order giver that reads from behind,
    name a start that has ended: work would go to a process as if it still held what
    the former one did. Versions of rows only rise, so the older entry gives way.
    """
    newest = {one.platform_name: one for one in known}
    listed: dict[str, Upstream] = {}
    for upstream in upstreams:
        other = listed.get(upstream.platform_name) or newest.get(upstream.platform_name)
        older = other is not None and upstream.row_version < other.row_version
        listed[upstream.platform_name] = other if other is not None and older else upstream
    return {upstream.id: upstream for upstream in listed.values()}


def _holds(resident: AdaptersByModel, unit: Unit) -> bool:
    adapters = resident.get(unit.model)
    return adapters is not None and (not unit.adapter or unit.adapter in adapters)


def _held_differs(before: dict[str, Upstream], after: dict[str, Upstream]) -> bool:
    return any(
        key in before and before[key].models_by_name != upstream.models_by_name
        for key, upstream in after.items()
    )


def _log_changes(
    before: dict[str, Upstream], after: dict[str, Upstream], leaving: set[str]
) -> None:
    for key in after.keys() - before.keys():
        seen = after[key]
        log_event(
            "upstream_seen",
            upstream=key,
            service=seen.service,
            address=f"{seen.host}:{seen.port}",
            failure_domain=seen.failure_domain,
        )
    for key in leaving:
        seconds_left = after[key].seconds_left
        log_event("upstream_leaving", upstream=key, seconds_left=seconds_left, source="list")
    for key in before.keys() - after.keys():
        log_event("upstream_gone", upstream=key, was_leaving=before[key].leaving)
