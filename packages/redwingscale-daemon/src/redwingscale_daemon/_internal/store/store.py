"""Groups the clients of the platform's services."""

from typing import NamedTuple

from redwingscale_daemon._internal.settings.settings import PlatformSettings
from redwingscale_daemon._internal.store.http import PlatformHttp
from redwingscale_daemon._internal.store.member_list import MemberList
from redwingscale_daemon._internal.store.objects import Objects
from redwingscale_daemon._internal.store.table import Table


class Platform(NamedTuple):
    """Clients of the platform's table, object store and member list."""

    table: Table
    objects: Objects
    members: MemberList


def connect_platform(settings: PlatformSettings, sender: str) -> Platform:
    """Return clients that send ``sender`` with each call; no call is made yet."""
    http = PlatformHttp(settings.url, sender, settings.timeout_seconds)
    return Platform(Table(http), Objects(http), MemberList(http))
