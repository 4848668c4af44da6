"""Parses hand-written JSON; reports the place of errors and duplicate keys."""

import json
from pathlib import Path
from typing import Any

from redwingscale_common.exceptions import CheckFailed
from redwingscale_common.finding import Finding


class _DuplicateKeys:
    """Finds keys that occur twice in one JSON object.

    ``json`` silently keeps only the last value of a duplicate key, so the first of two
    models with the same name would be ignored.
    """

    def __init__(self) -> None:
        self.findings: list[Finding] = []

    def collect(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Return the object of ``pairs``; add a finding for each duplicate key."""
        seen: dict[str, Any] = {}
        for key, value in pairs:
            if key in seen:
                self.findings.append(
                    Finding(f"$..{key}", f"name {key!r} stands twice in one object")
                )
            seen[key] = value
        return seen


def parse_json_text(subject: str, text: str) -> Any:
    """Return the value of the JSON ``text``.

    Raises `CheckFailed` if it is not JSON, with line and column, or has duplicate keys.
    """
    duplicates = _DuplicateKeys()
    try:
        value = json.loads(text, object_pairs_hook=duplicates.collect)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        finding = Finding(place, f"not valid JSON: {error.msg}")
        raise CheckFailed.from_findings(subject, [finding]) from None
    except RecursionError:
        finding = Finding("$", "nested too deeply")
        raise CheckFailed.from_findings(subject, [finding]) from None
    if duplicates.findings:
        raise CheckFailed.from_findings(subject, duplicates.findings)
    return value


def read_json_file(path: Path) -> Any:
    """Return the value of the JSON file at ``path``.

    Raises `CheckFailed` if it cannot be read or parsed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding("$", f"cannot be read: {error}")
        raise CheckFailed.from_findings(str(path), [finding]) from None
    return parse_json_text(str(path), text)
