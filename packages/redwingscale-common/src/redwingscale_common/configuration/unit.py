"""The unit of weights that an engine loads or unloads by one order."""

from typing import NamedTuple


class Unit(NamedTuple):
    """A model version or, if ``adapter`` is not empty, an adapter of that version."""

    model: str
    version: str
    adapter: str = ""

    def __str__(self) -> str:
        base = f"{self.model}@{self.version}"
        return f"{base}:{self.adapter}" if self.adapter else base

    @property
    def base(self) -> "Unit":
        """The model version that an adapter needs; for a model version, the unit itself."""
        return Unit(self.model, self.version)

    @classmethod
    def parse(cls, text: str) -> "Unit":
        """Parse ``model@version`` or ``model@version:adapter``.

        Raises `ValueError` if ``text`` has another form.
        """
        head, _, adapter = text.partition(":")
        model, separator, version = head.partition("@")
        if not (model and separator and version):
            raise ValueError(f"not a unit: {text!r}")
        return cls(model, version, adapter)
