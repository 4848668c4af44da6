"""The options that all commands share."""

import os
from typing import NamedTuple

from redwingscale_cli._internal.exceptions import UsageError
from redwingscale_cli._internal.network.operators_client import OperatorsClient

INSTANCE_VARIABLE = "REDWINGSCALE_INSTANCE"
TOKEN_VARIABLE = "REDWINGSCALE_TOKEN"


class CommandContext(NamedTuple):
    """The instance to query, its token and the output format."""

    instance_url: str
    token: str
    as_json: bool

    def client(self) -> OperatorsClient:
        """Return a client of the instance; raise `UsageError` if no instance was given."""
        if not self.instance_url:
            raise UsageError(
                "no instance was given",
                hint=f"use --instance URL or set {INSTANCE_VARIABLE}",
            )
        return OperatorsClient(self.instance_url, self.token)


def build_context(instance: str, token: str, as_json: bool) -> CommandContext:
    """Return the context; the environment replaces options that were not given."""
    return CommandContext(
        instance_url=instance or os.environ.get(INSTANCE_VARIABLE, ""),
        token=token or os.environ.get(TOKEN_VARIABLE, ""),
        as_json=as_json,
    )
