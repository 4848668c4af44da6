"""JSON Schema checks that report every violation with its JSON path."""

from collections.abc import Mapping
from typing import Any

from redwingscale_common.finding import Finding


def schema_findings(value: Any, schema: Mapping[str, Any]) -> list[Finding]:
    """Return a finding for each violation of ``schema`` in ``value``."""
    # Imported here because the validator takes some 8 MB and only a check needs it.
    from jsonschema import Draft202012Validator

    errors = Draft202012Validator(schema).iter_errors(value)
    return [
        Finding(error.json_path, error.message)
        for error in sorted(errors, key=lambda e: e.json_path)
    ]
