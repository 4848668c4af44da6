"""``redwingscale moves``."""

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json, print_table


def run(context: CommandContext) -> None:
    """Print the most recent load and unload orders, newest first."""
    moves = context.client().get("/moves")
    if context.as_json:
        print_json(moves)
        return
    rows = [(m["at"], m["upstream"], m["action"], m["unit"], m["outcome"]) for m in moves]
    print_table(("AT", "ENGINE", "ACTION", "UNIT", "OUTCOME"), rows)
