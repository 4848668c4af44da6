"""``redwingscale config rollback``."""

import getpass

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.operations.apply import require_accepted, show_rollout
from redwingscale_cli._internal.operations.history import fetch_text


def run(context: CommandContext, version: int, author: str, wait: float) -> None:
    """Apply the text of ``version`` as a new version."""
    client = context.client()
    text = fetch_text(client, version)
    base = client.get("/configuration")["version"]
    body = {"text": text, "base_version": base, "author": author or getpass.getuser()}
    new = require_accepted(client.call("POST", "/configuration", body), text)
    show_rollout(context, client, new, wait)
