"""Line-by-line difference between two configuration texts."""

import difflib
import json


def diff_lines(old: str, new: str, old_name: str, new_name: str) -> list[str]:
    """Return a unified diff of the two texts after formatting both in the same way.

    Layout and the order of keys have no meaning and are not part of the difference.
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
