"""The difference of two operators' texts, line by line."""

import difflib
import json


def diff_lines(old: str, new: str, old_name: str, new_name: str) -> list[str]:
    """Return a unified diff of both texts, brought into one layout first.

    Layout and the order of keys carry no meaning, so they make no difference.
    """
    return list(
        difflib.unified_diff(
            _layout(old), _layout(new), fromfile=old_name, tofile=new_name, lineterm="", n=2
        )
    )


def _layout(text: str) -> list[str]:
    if not text:
        return []
    return json.dumps(json.loads(text), indent=2, sort_keys=True).splitlines()
