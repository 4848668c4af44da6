"""What comes in a play beside the sound requests."""

from typing import NamedTuple


class BadRequests(NamedTuple):
    """Requests whose part number ``place`` ends each worker that begins their answer.

    There are ``parts`` such parts, which come in turn. Every ``every_seconds``, ``at_once`` requests come, from
    ``from_seconds`` to ``to_seconds`` of the play. With ``waits``, they come only after those
    before were answered.
    """

    place: int = 1
    parts: int = 1
    every_seconds: float = 0.5
    at_once: int = 1
    from_seconds: float = 4.0
    to_seconds: float = 26.0
    waits: bool = False


class WorkerKills(NamedTuple):
    """Workers are killed, ``at_once`` of them each ``every_seconds``, at most ``most`` in all."""

    every_seconds: float = 4.0
    at_once: int = 1
    most: int = 100


class InstanceKills(NamedTuple):
    """One instance after the other is killed and started again each ``every_seconds``."""

    every_seconds: float = 1.5


class StoreAway(NamedTuple):
    """The store answers nothing from ``after_seconds`` on."""

    after_seconds: float = 3.0


Fault = BadRequests | WorkerKills | InstanceKills | StoreAway
