"""What the caller already has of an answer."""


class Progress:
    """``position`` tokens are delivered; a further attempt begins after them."""

    __slots__ = ("position", "texts")

    def __init__(self) -> None:
        self.position = 0
        self.texts: list[str] = []

    @property
    def delivered(self) -> str:
        """The text of all tokens delivered."""
        return "".join(self.texts)
