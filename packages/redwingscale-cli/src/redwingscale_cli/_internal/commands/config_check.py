"""``redwingscale config check``."""

from pathlib import Path

from redwingscale_common.configuration import check_text
from redwingscale_common.finding import Finding


def findings_of(file: Path) -> list[Finding]:
    """Return every finding in the text in ``file``."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [Finding("$", f"cannot be read: {error}")]
    return check_text(str(file), text)
