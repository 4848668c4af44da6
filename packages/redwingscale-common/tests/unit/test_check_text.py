"""Findings of the check of the configuration text."""

import json

import pytest
from redwingscale_common.configuration import check_text


@pytest.fixture
def text(izmir_text):
    return json.loads(izmir_text)


def finding_places(value):
    return [finding.place for finding in check_text("text", json.dumps(value))]


def test_example_has_no_findings(izmir_text):
    assert check_text("izmir", izmir_text) == []


def test_all_findings_are_reported_together(text):
    text["models"]["listing-vetter"]["serving"] = "v9"
    text["services"]["listing-vetting"]["callers"].append("nobody")
    text["services"]["office-work"]["depends_on"][0]["adapters"].append("none")

    assert finding_places(text) == [
        "$.models.listing-vetter.serving",
        "$.services.listing-vetting.callers[1]",
        f"$.services.office-work.depends_on[0].adapters[{len(text['services']['office-work']['depends_on'][0]['adapters']) - 1}]",
    ]


def test_unknown_keys_and_wrong_types_are_reported_with_their_place(text):
    text["models"]["listing-vetter"]["colour"] = "red"
    text["callers"]["clerks"]["share"] = "many"

    assert finding_places(text) == ["$.callers.clerks.share", "$.models['listing-vetter']"]


def test_duplicate_key_is_found():
    assert "stands twice" in check_text("text", '{"callers": {}, "callers": {}}')[0].message


def test_malformed_json_is_reported_with_line_and_column():
    assert check_text("text", "{\n  oops")[0].place == "line 2 column 3"
