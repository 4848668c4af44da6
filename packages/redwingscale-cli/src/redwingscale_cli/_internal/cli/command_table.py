"""The module that implements each command, by the command's name."""

_COMMANDS = "redwingscale_cli._internal.commands"

COMMANDS_BY_NAME = {
    "config check": f"{_COMMANDS}.config_check",
    "config diff": f"{_COMMANDS}.config_diff",
    "config apply": f"{_COMMANDS}.config_apply",
    "config show": f"{_COMMANDS}.config_show",
    "config history": f"{_COMMANDS}.config_history",
    "config rollback": f"{_COMMANDS}.config_rollback",
    "status": f"{_COMMANDS}.status",
    "models": f"{_COMMANDS}.models",
    "upstreams": f"{_COMMANDS}.upstreams",
    "moves": f"{_COMMANDS}.moves",
    "drain": f"{_COMMANDS}.drain",
    "trace": f"{_COMMANDS}.trace",
    "load": f"{_COMMANDS}.load",
}
