"""JSON texts written by people: parsing with places, duplicate keys found."""

import json
from pathlib import Path
from typing import Any

from redwingscale_common.exceptions import CheckFailed
from redwingscale_common.finding import Finding


class _DuplicateKeys:
    """Collects keys that stand twice in one JSON object.

    ``json`` keeps the last of two equal keys silently: an operator's first
    model would vanish without a word.
    """

    def __init__(self) -> None:
        self.findings: list[Finding] = []

    def collect(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        seen: dict[str, Any] = {}
        for key, value in pairs:
            if key in seen:
                self.findings.append(
                    Finding(f"$..{key}", f"name {key!r} stands twice in one object")
                )
            seen[key] = value
        return seen


def parse_json_text(subject: str, text: str) -> Any:
    """Parse ``text``; raise `CheckFailed` with line and column when it is no JSON."""
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
    """Parse the file at ``path``; raise `CheckFailed` when it cannot be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding("$", f"cannot be read: {error}")
        raise CheckFailed.from_findings(str(path), [finding]) from None
    return parse_json_text(str(path), text)
