"""What instances and the order giver tell each other of the rates that upstreams name."""

import msgspec


class RateEntry(msgspec.Struct, array_like=True):
    """What one instance knows of an upstream's rate, ``age`` seconds old.

    ``per_second`` is None where the upstream named a rate and no longer does. ``wanted``
    tells whether requests here could use the upstream, ``waiting`` how many have no
    other, the first of them for ``longest_wait`` seconds, and ``used`` how many a second
    were sent lately.
    """

    upstream: str
    per_second: float | None
    age: float
    wanted: bool
    waiting: int
    used: float
    longest_wait: float = 0.0


class LentEntry(msgspec.Struct, array_like=True):
    """What the order giver knows of an upstream's rate, and whom it lends sendings.

    ``waiting`` requests over all instances have no other upstream.
    """

    upstream: str
    per_second: float | None
    age: float
    waiting: int
    sendings_by_instance: dict[str, int]
