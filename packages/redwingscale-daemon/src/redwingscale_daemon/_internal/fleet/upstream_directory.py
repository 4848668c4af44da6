"""The upstreams that requests can go to."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.holdings import Held, Holdings
from redwingscale_daemon._internal.fleet.list_digest import list_digest
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream

GoneListener = Callable[[set[str]], None]


class ListCopy(NamedTuple):
    """The list as this instance knows it, and its `list_digest`."""

    by_id: dict[str, Upstream]
    digest: int


class UpstreamDirectory:
    """Upstreams by id, as last listed, with the holdings that are newer than the list.

    An upstream that was seen leaving stays so: a list that is read from behind
    would else bring back one that takes no more work.
    """

    def __init__(self, holdings: Holdings, changes: Changes) -> None:
        self._lock = threading.Lock()
        self._holdings = holdings
        self._changes = changes
        self._copy = ListCopy({}, list_digest(()))
        self._read_at = float("-inf")
        self._leaving: set[str] = set()
        self._gone_listeners: list[GoneListener] = []

    def on_gone(self, listener: GoneListener) -> None:
        """Call ``listener`` with the ids of upstreams that are no longer listed."""
        self._gone_listeners.append(listener)

    def replace(self, upstreams: Iterable[Upstream]) -> None:
        """Take a whole list that was just read."""
        self._read_at = time.monotonic()
        self._take(upstreams)

    def _take(self, upstreams: Iterable[Upstream]) -> None:
        """Take all upstreams; of two starts under one name the newer one counts."""
        listed = _newest_starts(upstreams, self._copy.by_id.values())
        with self._lock:
            before = self._copy.by_id
            self._copy = ListCopy(listed, list_digest(listed.values()))
            leaving = {key for key, upstream in listed.items() if upstream.leaving}
            new_leaving = leaving - self._leaving
            self._leaving = (self._leaving | leaving) & listed.keys()
        _log_changes(before, listed, new_leaving)
        gone = before.keys() - listed.keys()
        if gone:
            for listener in self._gone_listeners:
                listener(gone)
        if gone or new_leaving or listed.keys() - before.keys() or _held_differs(before, listed):
            self._changes.notify()

    def update(self, changed: Iterable[Upstream], gone: Iterable[str]) -> None:
        """Take changes to the list: upstreams that have come or changed, ids of those gone."""
        changed_by_id = {upstream.id: upstream for upstream in changed}
        dropped = set(gone)
        kept = {key: known for key, known in self._copy.by_id.items() if key not in dropped}
        self._take([*{**kept, **changed_by_id}.values()])

    @property
    def copy(self) -> ListCopy:
        """All that are listed, with their digest."""
        return self._copy

    def get(self, upstream_id: str) -> Upstream | None:
        """Return one upstream, None if it isn't listed."""
        return self._copy.by_id.get(upstream_id)

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
        return [u for u in self.usable(service) if _holds(self.held(u), unit)]

    def held(self, upstream: Upstream) -> Held:
        """Return the adapters by model of ``upstream``, from the newest source."""
        told = self._holdings.held(upstream.id, self._read_at)
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


def _holds(held: Held, unit: Unit) -> bool:
    adapters = held.get(unit.model)
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
        log_event("upstream_leaving", upstream=key, seconds_left=after[key].seconds_left)
    for key in before.keys() - after.keys():
        log_event("upstream_gone", upstream=key, was_leaving=before[key].leaving)
