"""The platform's services as one value, for wiring."""

from typing import NamedTuple

from redwingscale_daemon._internal.platform.http import PlatformHttp
from redwingscale_daemon._internal.platform.member_list import MemberList
from redwingscale_daemon._internal.platform.objects import Objects
from redwingscale_daemon._internal.platform.table import Table
from redwingscale_daemon._internal.settings.settings import PlatformSettings


class Platform(NamedTuple):
    """Clients of the platform's table, object store and member list."""

    table: Table
    objects: Objects
    members: MemberList


def connect_platform(settings: PlatformSettings, sender: str) -> Platform:
    """Return clients that name this instance as ``sender``; nothing is sent yet."""
    http = PlatformHttp(settings.url, sender, settings.timeout_seconds)
    return Platform(Table(http), Objects(http), MemberList(http))
