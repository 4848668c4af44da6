"""Members of the deployment, from the platform's list, which lags."""

from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.models.member import (
    EngineMember,
    InstanceMember,
    Member,
    PlainMember,
)
from redwingscale_daemon._internal.store.member_list import MemberList

Listener = Callable[[dict[str, Member]], None]


class Members:
    """The last member list that could be read; an outage leaves it unchanged."""

    def __init__(self, member_list: MemberList) -> None:
        self._list = member_list
        self._listeners: list[Listener] = []
        self._failing = False
        self.by_id: dict[str, Member] = {}

    def on_change(self, listener: Listener) -> None:
        """Call ``listener`` with all members each time the list changes."""
        self._listeners.append(listener)

    def refresh(self) -> None:
        """Read the list once; an outage is logged when it begins."""
        try:
            members = self._list.read()
        except PlatformUnavailable as error:
            if not self._failing:
                log_event("member_list_unavailable", level="WARNING", error=error)
            self._failing = True
            return
        self._failing = False
        if members == self.by_id:
            return
        self.by_id = members
        for listener in self._listeners:
            listener(members)

    def instances(self) -> list[InstanceMember]:
        return [m for m in self.by_id.values() if isinstance(m, InstanceMember)]

    def engines(self) -> list[EngineMember]:
        return [m for m in self.by_id.values() if isinstance(m, EngineMember)]

    def plain(self, service: str) -> list[PlainMember]:
        """Return the upstreams of the plain service ``service``."""
        return [
            m for m in self.by_id.values() if isinstance(m, PlainMember) and m.service == service
        ]
