"""The platform's list of instances and upstreams, which may be out of date."""

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.models.member import Member, parse_member
from redwingscale_daemon._internal.store.http import PlatformHttp


class MemberList:
    """Reads the list; malformed items are logged and skipped."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    def read(self) -> dict[str, Member]:
        """Return the members by id; raise `PlatformUnavailable` if there is no answer."""
        items = msgspec.json.decode(self._http.get("/members").body)
        members: dict[str, Member] = {}
        for item in items:
            try:
                member = parse_member(item)
            except (KeyError, ValueError, TypeError) as error:
                log_event("member_invalid", level="WARNING", item=item, error=repr(error))
                continue
            members[member.id] = member
        return members
