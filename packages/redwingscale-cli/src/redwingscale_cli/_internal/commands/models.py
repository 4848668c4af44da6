"""``redwingscale models``."""

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json, print_table

GIGABYTE = 1_000_000_000


def run(context: CommandContext) -> None:
    """Print each unit to serve with its size and the engines where it is resident."""
    models = context.client().get("/models")
    if context.as_json:
        print_json(models)
        return
    rows = [
        (
            unit,
            f"{item['size_bytes'] / GIGABYTE:.2f}",
            len(item["engines"]),
            " ".join(item["engines"]),
        )
        for unit, item in models.items()
    ]
    print_table(("UNIT", "GB", "REPLICAS", "ENGINES"), rows)
