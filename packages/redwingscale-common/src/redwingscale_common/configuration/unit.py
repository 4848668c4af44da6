"""The unit of residence: what an engine loads and unloads by one order."""

from typing import NamedTuple


class Unit(NamedTuple):
    """A model version, or an adapter on top of one (``adapter`` not empty)."""

    model: str
    version: str
    adapter: str = ""

    def __str__(self) -> str:
        base = f"{self.model}@{self.version}"
        return f"{base}:{self.adapter}" if self.adapter else base

    @property
    def base(self) -> "Unit":
        """The model version that an adapter needs; a model version itself."""
        return Unit(self.model, self.version)

    @classmethod
    def parse(cls, text: str) -> "Unit":
        """Parse ``model@version`` or ``model@version:adapter``; raise ValueError."""
        head, _, adapter = text.partition(":")
        model, separator, version = head.partition("@")
        if not (model and separator and version):
            raise ValueError(f"not a unit: {text!r}")
        return cls(model, version, adapter)
