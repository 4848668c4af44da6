"""``redwingscale config rollback``."""

import getpass

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.operations.apply import accepted_version, show_spread
from redwingscale_cli._internal.operations.history import text_of


def run(context: CommandContext, version: int, author: str, wait: float) -> None:
    """Apply the text of ``version`` as a new version."""
    client = context.client()
    text = text_of(client, version)
    base = client.get("/configuration")["version"]
    body = {"text": text, "base_version": base, "author": author or getpass.getuser()}
    new = accepted_version(client.call("POST", "/configuration", body), text)
    show_spread(context, client, new, wait)
