"""The way of a request knows no client of the platform, claims apart."""

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
def test_no_part_of_the_request_path_can_call_the_platform(folder):
    """
    The platform is slow for long. One call to it on a request's way would hold
    every caller up for its time-out, though nothing of it is needed.
    """
    paths = sorted((ROOT / folder).glob("*.py"))

    assert paths
    assert not [p.name for p in paths if any(m.startswith(PLATFORM) for m in imported(p))]
