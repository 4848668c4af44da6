"""``redwingscale config apply``."""

import getpass
from pathlib import Path

from redwingscale_common.configuration import load_text

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.operations.apply import require_accepted, show_rollout
from redwingscale_cli._internal.operations.text_file import read_text

VERSION_IN_FORCE = -1


def run(context: CommandContext, file: Path, base: int, author: str, wait: float) -> None:
    """Check the text locally, apply it and show the instances where it is in force."""
    text = read_text(file)
    load_text(str(file), text)
    client = context.client()
    if base == VERSION_IN_FORCE:
        base = client.get("/configuration")["version"]
    body = {"text": text, "base_version": base, "author": author or getpass.getuser()}
    version = require_accepted(client.call("POST", "/configuration", body), text)
    show_rollout(context, client, version, wait)
