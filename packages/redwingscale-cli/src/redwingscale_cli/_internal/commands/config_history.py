"""``redwingscale config history``."""

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json, print_table

SHOWN_DIGEST_CHARACTERS = 12


def run(context: CommandContext) -> None:
    """Print the accepted versions, newest first."""
    history = context.client().get("/configuration/history")
    if context.as_json:
        print_json(history)
        return
    rows = [
        (i["version"], i["at"], i["author"], i["digest"][:SHOWN_DIGEST_CHARACTERS]) for i in history
    ]
    print_table(("VERSION", "AT", "AUTHOR", "DIGEST"), rows)
