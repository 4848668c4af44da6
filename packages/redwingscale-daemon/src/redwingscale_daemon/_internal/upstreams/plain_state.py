"""Stores which plain upstreams are leaving, as published by the instances that poll them."""

import threading
from typing import NamedTuple

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.models.member import PlainMember

TOPIC = "plain-state"


class PlainState(NamedTuple):
    """The latest state that the upstream at ``url`` returned."""

    upstream: str
    url: str
    leaving: bool


class PlainStates:
    """The latest state of each plain upstream, received through gossip."""

    def __init__(self, gossip: GossipState, members: Members) -> None:
        self._members = members
        self._lock = threading.Lock()
        self._states_by_id: dict[str, PlainState] = {}
        gossip.subscribe(TOPIC, self._on_entry)

    def leaving(self, service: str) -> list[str]:
        """Return the ids of the upstreams of ``service`` that report that they are leaving."""
        return [m.id for m in self._members.plain(service) if self._is_leaving(m)]

    def _is_leaving(self, member: PlainMember) -> bool:
        # A state with another address is of an earlier process with this id, and does
        # not apply to the process that replaced it.
        state = self._states_by_id.get(member.id)
        return state is not None and state.url == member.url and state.leaving

    def _on_entry(self, entry: Entry) -> None:
        state = msgspec.msgpack.decode(entry.payload, type=PlainState)
        with self._lock:
            self._states_by_id[state.upstream] = state
