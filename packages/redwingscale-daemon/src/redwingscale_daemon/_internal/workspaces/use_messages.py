"""What instances and the order giver tell each other of workspaces' use."""

import msgspec


class DrawnEntry(msgspec.Struct, array_like=True):
    """One instance's use of a workspace's limit, in the limit's units.

    ``offered`` a second are asked for lately; ``used`` were let in since the process
    began, so that a lost message costs nothing.
    """

    workspace: str
    offered: float
    used: float


class GrantEntry(msgspec.Struct, array_like=True):
    """What all instances together may let in of a workspace.

    ``offered`` is the sum of what they have told; where ``near_limit`` each lets in its
    part of ``per_second`` by its part of that, else use is far from the limit.
    """

    workspace: str
    per_second: float
    offered: float
    near_limit: bool
