"""Entries on workspaces' use of holders in the updates of the instances."""

import msgspec


class PlaceUse(msgspec.Struct, array_like=True):
    """Prompt tokens of a workspace at one instance since its previous update.

    ``offered`` are those of all its requests for holders, ``admitted`` of those sent.
    """

    workspace: str
    offered: int
    admitted: int
