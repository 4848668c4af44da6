"""The changes between two configuration texts."""

import json

from hypothesis import given
from hypothesis import strategies as st
from redwingscale_common.configuration.diff import Change, diff_texts

VALUES = st.recursive(
    st.integers() | st.text() | st.lists(st.integers()),
    lambda inner: st.dictionaries(st.text(), inner),
    max_leaves=8,
)
OBJECTS = st.dictionaries(st.text(), VALUES)


def test_each_change_is_reported_with_its_place(izmir_text):
    value = json.loads(izmir_text)
    sizes = value["models"]["listing-vetter"]["versions"]["v1"]
    before = sizes["size_bytes"]
    sizes["size_bytes"] = 1
    value["callers"]["new"] = {"token_sha256": "0" * 64}
    del value["services"]["office-work"]

    changes = diff_texts(izmir_text, json.dumps(value))

    assert [(c.kind, c.place) for c in changes] == [
        ("added", "$.callers.new"),
        ("changed", "$.models['listing-vetter'].versions.v1.size_bytes"),
        ("removed", "$.services['office-work']"),
    ]
    place = "$.models['listing-vetter'].versions.v1.size_bytes"
    assert changes[1].render() == f"{place}: {before} -> 1"


def test_all_values_are_added_to_an_empty_text():
    assert diff_texts("", '{"a": [1]}') == [Change("$.a", None, [1])]


@given(OBJECTS, OBJECTS)
def test_equal_texts_and_only_they_have_no_difference(before, after):
    changes = diff_texts(json.dumps(before), json.dumps(after))

    assert (changes == []) == (before == after)
