"""The command line of ``redwingscale``: its commands, their options and their help."""

from pathlib import Path
from typing import Annotated

import typer

from redwingscale_cli._internal.cli.base_command import run_command
from redwingscale_cli._internal.cli.context import CommandContext, build_context

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help="Operates a redwingscale deployment through any of its instances.",
)
config = typer.Typer(no_args_is_help=True, help="Check, apply and show the configuration.")
app.add_typer(config, name="config")

Instance = Annotated[str, typer.Option(help="Operators' URL of any instance.")]
Token = Annotated[str, typer.Option(help="Operators' token (better: REDWINGSCALE_TOKEN).")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
TextFile = Annotated[Path, typer.Argument(help="File with the configuration text.")]


@app.callback()
def options(
    context: typer.Context, instance: Instance = "", token: Token = "", as_json: AsJson = False
) -> None:
    """Read the options that all commands share."""
    context.obj = build_context(instance, token, as_json)


def _shared(context: typer.Context, as_json: bool) -> CommandContext:
    """Return the shared options; ``--json`` is valid before and after the command's name."""
    shared: CommandContext = context.obj
    return shared._replace(as_json=shared.as_json or as_json)


@config.command("check")
def config_check(context: typer.Context, file: TextFile, as_json: AsJson = False) -> None:
    """Check a configuration text; exit 1 if there are findings.

    Example: redwingscale config check examples/izmir.json
    """
    run_command("config check", _shared(context, as_json), file)


@config.command("diff")
def config_diff(context: typer.Context, file: TextFile, as_json: AsJson = False) -> None:
    """Show what a configuration text would change in the version in force.

    Example: redwingscale config diff next.json
    """
    run_command("config diff", _shared(context, as_json), file)


@config.command("apply")
def config_apply(
    context: typer.Context,
    file: TextFile,
    base: Annotated[int, typer.Option(help="Version that the text is based on.")] = -1,
    author: Annotated[str, typer.Option(help="Name for the history.")] = "",
    wait: Annotated[float, typer.Option(help="Seconds to watch it come into force.")] = 14.0,
    as_json: AsJson = False,
) -> None:
    """Put a configuration text in force and show the instances that apply it.

    Example: redwingscale config apply next.json --base 41 --author meral

    Exit 4 if another operator applied a version first: the difference is shown and
    nothing is changed.
    """
    run_command("config apply", _shared(context, as_json), file, base, author, wait)


@config.command("show")
def config_show(
    context: typer.Context,
    version: Annotated[int, typer.Option(help="Version to show; 0 for the one in force.")] = 0,
    as_json: AsJson = False,
) -> None:
    """Print the configuration text in force or an earlier one.

    Example: redwingscale config show --version 40 > old.json
    """
    run_command("config show", _shared(context, as_json), version)


@config.command("history")
def config_history(context: typer.Context, as_json: AsJson = False) -> None:
    """List the accepted versions, newest first.

    Example: redwingscale config history
    """
    run_command("config history", _shared(context, as_json))


@config.command("rollback")
def config_rollback(
    context: typer.Context,
    version: Annotated[int, typer.Argument(help="Version whose text to apply again.")],
    author: Annotated[str, typer.Option(help="Name for the history.")] = "",
    wait: Annotated[float, typer.Option(help="Seconds to watch it come into force.")] = 14.0,
    as_json: AsJson = False,
) -> None:
    """Apply the text of an earlier version as a new version.

    Example: redwingscale config rollback 40
    """
    run_command("config rollback", _shared(context, as_json), version, author, wait)


@app.command()
def status(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the instances: readiness, session and configuration version in force.

    Example: redwingscale status
    """
    run_command("status", _shared(context, as_json))


@app.command()
def models(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the models: size, replicas and the engines where they are resident.

    Example: redwingscale models
    """
    run_command("models", _shared(context, as_json))


@app.command()
def upstreams(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the engines: memory, load and number of resident units.

    Example: redwingscale upstreams
    """
    run_command("upstreams", _shared(context, as_json))


@app.command()
def moves(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the most recent load and unload orders.

    Example: redwingscale moves --json
    """
    run_command("moves", _shared(context, as_json))


@app.command()
def drain(
    context: typer.Context,
    instance_id: Annotated[str, typer.Argument(help="Id of the instance to drain.")],
    as_json: AsJson = False,
) -> None:
    """Make an instance complete its requests and exit, as on SIGTERM.

    Example: redwingscale drain izmir-a1
    """
    run_command("drain", _shared(context, as_json), instance_id)


@app.command()
def load(
    context: typer.Context,
    url: Annotated[list[str], typer.Option(help="Callers' URL; repeat for several instances.")],
    caller_token: Annotated[str, typer.Option(help="Token of the caller to send as.")],
    model: Annotated[list[str], typer.Option(help="Model; repeat to spread over several.")],
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 10.0,
    seconds: Annotated[float, typer.Option(help="Seconds for which requests are sent.")] = 10.0,
    max_tokens: Annotated[int, typer.Option(help="Tokens of each answer.")] = 32,
    deadline: Annotated[float, typer.Option(help="Deadline of each request, in seconds.")] = 5.0,
    seed: Annotated[int, typer.Option(help="Seed for arrival times and prompts.")] = 1,
    as_json: AsJson = False,
) -> None:
    """Send streamed requests and print attainment and latency percentiles.

    Example: redwingscale load --url http://10.0.0.7:8080 --caller-token TOKEN --model ocr
    """
    run_command(
        "load",
        _shared(context, as_json),
        url,
        caller_token,
        model,
        rate,
        seconds,
        max_tokens,
        deadline,
        seed,
    )


@app.command()
def trace(
    context: typer.Context,
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[list[Path], typer.Argument(help="Log files of all instances.")],
    as_json: AsJson = False,
) -> None:
    """Show the log lines of all instances that concern a request.

    Example: redwingscale trace 9c41d07be2a35f68 logs/*.log
    """
    run_command("trace", _shared(context, as_json), request, files)


@app.command()
def version() -> None:
    """Print the version.

    Example: redwingscale version
    """
    from redwingscale_common import __version__

    typer.echo(__version__)
