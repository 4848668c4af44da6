"""The parser of ``redwingscale``: options, help with examples, dispatch."""

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
config = typer.Typer(no_args_is_help=True, help="The operators' text.")
app.add_typer(config, name="config")

Instance = Annotated[str, typer.Option(help="Operators' URL of any instance.")]
Token = Annotated[str, typer.Option(help="Operators' token (better: REDWINGSCALE_TOKEN).")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
TextFile = Annotated[Path, typer.Argument(help="File with the operators' text.")]


@app.callback()
def options(
    context: typer.Context, instance: Instance = "", token: Token = "", as_json: AsJson = False
) -> None:
    """Take the options that every command shares."""
    context.obj = build_context(instance, token, as_json)


def _shared(context: typer.Context, as_json: bool) -> CommandContext:
    """Return the shared options; ``--json`` counts before and after the command."""
    shared: CommandContext = context.obj
    return shared._replace(as_json=shared.as_json or as_json)


@config.command("check")
def config_check(context: typer.Context, file: TextFile, as_json: AsJson = False) -> None:
    """Check a text; exit 1 when there are findings.

    Example: redwingscale config check examples/izmir.json
    """
    run_command("config check", _shared(context, as_json), file)


@config.command("diff")
def config_diff(context: typer.Context, file: TextFile, as_json: AsJson = False) -> None:
    """Show what a text would change in the version in force.

    Example: redwingscale config diff next.json
    """
    run_command("config diff", _shared(context, as_json), file)


@config.command("apply")
def config_apply(
    context: typer.Context,
    file: TextFile,
    base: Annotated[int, typer.Option(help="Version that the text was edited from.")] = -1,
    author: Annotated[str, typer.Option(help="Name for the history.")] = "",
    wait: Annotated[float, typer.Option(help="Seconds to watch it come into force.")] = 14.0,
    as_json: AsJson = False,
) -> None:
    """Put a text in force, then show instance by instance where it is in force.

    Example: redwingscale config apply next.json --base 41 --author meral

    Exit 4 when another operator's version came first: the difference is shown
    and nothing is lost.
    """
    run_command("config apply", _shared(context, as_json), file, base, author, wait)


@config.command("show")
def config_show(
    context: typer.Context,
    version: Annotated[int, typer.Option(help="Version to show; 0 for the one in force.")] = 0,
    as_json: AsJson = False,
) -> None:
    """Print the text in force, or an earlier one.

    Example: redwingscale config show --version 40 > old.json
    """
    run_command("config show", _shared(context, as_json), version)


@config.command("history")
def config_history(context: typer.Context, as_json: AsJson = False) -> None:
    """List the accepted versions, the newest first.

    Example: redwingscale config history
    """
    run_command("config history", _shared(context, as_json))


@config.command("rollback")
def config_rollback(
    context: typer.Context,
    version: Annotated[int, typer.Argument(help="Version whose text comes into force again.")],
    author: Annotated[str, typer.Option(help="Name for the history.")] = "",
    wait: Annotated[float, typer.Option(help="Seconds to watch it come into force.")] = 14.0,
    as_json: AsJson = False,
) -> None:
    """Put an earlier text in force again, as a new version.

    Example: redwingscale config rollback 40
    """
    run_command("config rollback", _shared(context, as_json), version, author, wait)


@app.command()
def status(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the instances: readiness, session, configuration version in force.

    Example: redwingscale status
    """
    run_command("status", _shared(context, as_json))


@app.command()
def models(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the listed models: replicas, where, and their memory.

    Example: redwingscale models
    """
    run_command("models", _shared(context, as_json))


@app.command()
def upstreams(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the engines: memory, load, what is resident.

    Example: redwingscale upstreams
    """
    run_command("upstreams", _shared(context, as_json))


@app.command()
def moves(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the loads and unloads that were ordered lately.

    Example: redwingscale moves --json
    """
    run_command("moves", _shared(context, as_json))


@app.command()
def drain(
    context: typer.Context,
    instance_id: Annotated[str, typer.Argument(help="Id of the instance to drain.")],
    as_json: AsJson = False,
) -> None:
    """Make an instance finish its requests and end, as a SIGTERM does.

    Example: redwingscale drain izmir-a1
    """
    run_command("drain", _shared(context, as_json), instance_id)


@app.command()
def load(
    context: typer.Context,
    url: Annotated[list[str], typer.Option(help="Callers' URL; repeat for several instances.")],
    caller_token: Annotated[str, typer.Option(help="Token of the caller to be.")],
    model: Annotated[list[str], typer.Option(help="Model; repeat to spread over several.")],
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 10.0,
    seconds: Annotated[float, typer.Option(help="How long to send.")] = 10.0,
    max_tokens: Annotated[int, typer.Option(help="Tokens of each answer.")] = 32,
    deadline: Annotated[float, typer.Option(help="Deadline of each request, in seconds.")] = 5.0,
    seed: Annotated[int, typer.Option(help="Seed of arrivals and prompts.")] = 1,
    as_json: AsJson = False,
) -> None:
    """Send streamed requests; print attainment and latency percentiles.

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
    """Explain one request from the logs of the instances.

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
