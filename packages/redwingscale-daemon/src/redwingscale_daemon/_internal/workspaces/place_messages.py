"""Entries on workspaces' use of holders in the updates of the instances."""

import msgspec


class PlaceUse(msgspec.Struct, array_like=True):
    """The ``offered`` prompt tokens of a workspace at one instance since its previous update.

    They are those of its requests for holders, sent or not; returning ones count once.
    """

    workspace: str
    offered: int
