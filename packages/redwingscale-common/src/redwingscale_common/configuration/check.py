"""Checks the configuration text and builds its typed form."""

from collections.abc import Iterator, Mapping
from typing import Any

from redwingscale_common.configuration.build import build_configuration
from redwingscale_common.configuration.configuration import Configuration
from redwingscale_common.configuration.schema import CONFIGURATION_SCHEMA
from redwingscale_common.exceptions import CheckFailed
from redwingscale_common.finding import Finding
from redwingscale_common.utils.jsontext import parse_json_text
from redwingscale_common.utils.schemas import schema_findings


def check_text(subject: str, text: str) -> list[Finding]:
    """Return all findings in ``text``; a text without findings may be applied."""
    try:
        value = parse_json_text(subject, text)
    except CheckFailed as failed:
        return failed.findings
    return schema_findings(value, CONFIGURATION_SCHEMA) or list(_reference_findings(value))


def load_text(subject: str, text: str) -> Configuration:
    """Return the typed form of ``text``; raise `CheckFailed` if it has findings."""
    findings = check_text(subject, text)
    if findings:
        raise CheckFailed.from_findings(subject, findings)
    return build_configuration(parse_json_text(subject, text))


def load_accepted_text(subject: str, text: str) -> Configuration:
    """Return the typed form of a text that was checked before, without another check.

    Every instance reads every accepted version. With 860 models the check takes twenty
    times as long as the rest, and its validator takes 8 MB. Raises `CheckFailed` if this
    release cannot read the text.
    """
    value = parse_json_text(subject, text)
    try:
        return build_configuration(value)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        finding = Finding("$", f"cannot be read by this release: {error!r}")
        raise CheckFailed.from_findings(subject, [finding]) from None


def _reference_findings(value: Mapping[str, Any]) -> Iterator[Finding]:
    yield from _token_findings(value["callers"])
    for name, model in value["models"].items():
        yield from _model_findings(f"$.models.{name}", model)
    for name, service in value["services"].items():
        yield from _service_findings(f"$.services.{name}", service, value)


def _token_findings(callers: Mapping[str, Any]) -> Iterator[Finding]:
    first_by_token: dict[str, str] = {}
    for name, caller in callers.items():
        first = first_by_token.setdefault(caller["token_sha256"], name)
        if first != name:
            place = f"$.callers.{name}.token_sha256"
            yield Finding(place, f"same token as caller {first!r}", "give each caller its own")


def _model_findings(place: str, model: Mapping[str, Any]) -> Iterator[Finding]:
    if model["serving"] not in model["versions"]:
        known = ", ".join(sorted(model["versions"])) or "none"
        yield Finding(f"{place}.serving", f"no version {model['serving']!r}", f"versions: {known}")


def _service_findings(
    place: str, service: Mapping[str, Any], value: Mapping[str, Any]
) -> Iterator[Finding]:
    for index, caller in enumerate(service["callers"]):
        if caller not in value["callers"]:
            yield Finding(f"{place}.callers[{index}]", f"no caller {caller!r} is listed")
    dependencies = service.get("depends_on", [])
    if service["kind"] == "plain" and dependencies:
        yield Finding(f"{place}.depends_on", "a plain service depends on no model")
    if service["kind"] == "model" and not dependencies:
        yield Finding(place, "a model service needs depends_on")
    for index, dependency in enumerate(dependencies):
        yield from _dependency_findings(f"{place}.depends_on[{index}]", dependency, value["models"])


def _dependency_findings(
    place: str, dependency: Mapping[str, Any], models: Mapping[str, Any]
) -> Iterator[Finding]:
    model = models.get(dependency["model"])
    if model is None:
        yield Finding(f"{place}.model", f"no model {dependency['model']!r} is listed")
        return
    for index, adapter in enumerate(dependency.get("adapters", [])):
        if adapter not in model.get("adapters", {}):
            message = f"model {dependency['model']!r} has no adapter {adapter!r}"
            yield Finding(f"{place}.adapters[{index}]", message)
