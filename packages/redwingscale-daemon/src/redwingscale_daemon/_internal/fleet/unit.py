"""What must be resident at an upstream to serve a request."""

from typing import NamedTuple


class Unit(NamedTuple):
    """A model, optionally with one of its adapters."""

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model
