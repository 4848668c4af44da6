"""The modules on the path of a request import no client of the platform."""

import ast
from pathlib import Path

import pytest
import redwingscale_daemon._internal as internal

ROOT = Path(internal.__file__).parent
PLATFORM = "redwingscale_daemon._internal.store"
FOLDERS = ("entry", "admission", "routing", "relay", "upstreams")


def imported(path):
    nodes = ast.walk(ast.parse(path.read_text()))
    return {node.module or "" for node in nodes if isinstance(node, ast.ImportFrom)}


@pytest.mark.parametrize("folder", FOLDERS)
def test_request_path_cannot_call_the_platform(folder):
    """
    The platform can be slow for a long time. One call to it on the path of a
    request would delay every caller until its timeout, though requests need
    nothing from the platform. Claims, which do, are in other folders.
    """
    paths = sorted((ROOT / folder).glob("*.py"))

    assert paths
    assert not [p.name for p in paths if any(m.startswith(PLATFORM) for m in imported(p))]
