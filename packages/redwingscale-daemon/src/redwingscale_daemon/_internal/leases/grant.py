"""The right to act on a named resource, with its fencing number."""

from typing import NamedTuple


class Grant(NamedTuple):
    """``holder`` (an instance, in session ``boot``) owns ``name`` under ``fence``."""

    name: str
    holder: str
    boot: int
    fence: int
