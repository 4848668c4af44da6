"""One thing that is wrong in a checked text."""

from typing import NamedTuple


class Finding(NamedTuple):
    """A problem at a JSON place, for example ``$.models.ocr.serving``."""

    place: str
    message: str
    hint: str = ""

    def render(self, subject: str) -> str:
        """Return ``SUBJECT: PLACE: message (hint)``, the form of every report."""
        tail = f" ({self.hint})" if self.hint else ""
        return f"{subject}: {self.place}: {self.message}{tail}"
