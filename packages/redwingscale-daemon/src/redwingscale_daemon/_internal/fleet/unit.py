"""What a request needs to find at an upstream."""

from typing import NamedTuple


class Unit(NamedTuple):
    """A model, and one of its adapters or none."""

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model
