"""Entries on workspaces' use in the updates between instances and the leader."""

import msgspec


class DrawnEntry(msgspec.Struct, array_like=True):
    """One instance's use of a workspace's limit, in the limit's units.

    ``offered`` is the recent demand per second, admitted or not. ``used`` is the total
    admitted since the process started, so that a lost message loses no use.
    """

    workspace: str
    offered: float
    used: float


class GrantEntry(msgspec.Struct, array_like=True):
    """The rate that all instances together may admit for a workspace.

    ``offered`` is the sum of the demand that instances announced. If ``near_limit``, an
    instance's share of ``per_second`` is its fraction of ``offered``; otherwise use is far
    from the limit.
    """

    workspace: str
    per_second: float
    offered: float
    near_limit: bool
