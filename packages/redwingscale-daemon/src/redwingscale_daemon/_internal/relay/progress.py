"""The part of an answer that the caller already has."""


class Progress:
    """Counts delivered tokens in ``position``; another attempt continues after them."""

    __slots__ = ("position", "texts")

    def __init__(self) -> None:
        self.position = 0
        self.texts: list[str] = []

    @property
    def delivered(self) -> str:
        """The text of all delivered tokens."""
        return "".join(self.texts)
