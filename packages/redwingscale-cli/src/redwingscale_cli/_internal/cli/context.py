"""What every command shares: the instance to ask and the form of the output."""

import os
from typing import NamedTuple

from redwingscale_cli._internal.exceptions import UsageError
from redwingscale_cli._internal.network.operators_client import OperatorsClient

INSTANCE_VARIABLE = "REDWINGSCALE_INSTANCE"
TOKEN_VARIABLE = "REDWINGSCALE_TOKEN"


class CommandContext(NamedTuple):
    """Options of the command line that hold for all commands."""

    instance_url: str
    token: str
    as_json: bool

    def client(self) -> OperatorsClient:
        """Return the client of the instance; raise `UsageError` when none is named."""
        if not self.instance_url:
            raise UsageError(
                "no instance is named",
                hint=f"give --instance URL or set {INSTANCE_VARIABLE}",
            )
        return OperatorsClient(self.instance_url, self.token)


def build_context(instance: str, token: str, as_json: bool) -> CommandContext:
    """Return the context of the options, completed from the environment."""
    return CommandContext(
        instance_url=instance or os.environ.get(INSTANCE_VARIABLE, ""),
        token=token or os.environ.get(TOKEN_VARIABLE, ""),
        as_json=as_json,
    )
