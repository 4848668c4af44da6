"""Reads a file with a configuration text."""

from pathlib import Path

from redwingscale_common.exceptions import CheckFailed
from redwingscale_common.finding import Finding


def read_text(file: Path) -> str:
    """Return the text in ``file``; raise `CheckFailed` if it cannot be read."""
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding("$", f"cannot be read: {error}")
        raise CheckFailed.from_findings(str(file), [finding]) from None
