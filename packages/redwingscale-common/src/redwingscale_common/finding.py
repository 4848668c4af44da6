"""A problem that a check found in a text."""

from typing import NamedTuple


class Finding(NamedTuple):
    """A problem at the JSON path ``place``, for example ``$.models.ocr.serving``."""

    place: str
    message: str
    hint: str = ""

    def render(self, subject: str) -> str:
        """Return ``SUBJECT: PLACE: message (hint)``, as every report shows a finding."""
        tail = f" ({self.hint})" if self.hint else ""
        return f"{subject}: {self.place}: {self.message}{tail}"
