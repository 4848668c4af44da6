"""``redwingscale load``, a load tool."""

import typer

from redwingscale_cli._internal.cli.context import CommandContext
from redwingscale_cli._internal.cli.output import print_json, print_table
from redwingscale_cli._internal.models.load_plan import LoadPlan
from redwingscale_cli._internal.models.load_result import LoadReport
from redwingscale_cli._internal.operations.load_report import build_report
from redwingscale_cli._internal.operations.load_run import run_load


def run(
    context: CommandContext,
    urls: list[str],
    token: str,
    models: list[str],
    rate: float,
    seconds: float,
    max_tokens: int,
    deadline: float,
    seed: int,
) -> None:
    """Send the requests and print a summary of the results."""
    plan = LoadPlan(
        urls=tuple(url.rstrip("/") for url in urls),
        token=token,
        models=tuple(models),
        rate=rate,
        seconds=seconds,
        max_tokens=max_tokens,
        deadline_seconds=deadline,
        seed=seed,
    )
    report = build_report(run_load(plan))
    if context.as_json:
        print_json(report._asdict())
    else:
        _print_report(report)


def _print_report(report: LoadReport) -> None:
    outcomes = " ".join(f"{k}={v}" for k, v in sorted(report.count_by_outcome.items()))
    typer.echo(f"requests {report.requests}  attainment {report.attainment:.1%}  {outcomes}")
    typer.echo(f"tokens {report.tokens}  {report.tokens_per_second:.0f} a second")
    rows = [
        ("first token", *report.first_token_ms),
        ("token gap", *report.token_gap_ms),
        ("refusal", *report.refusal_ms),
    ]
    print_table(("MILLISECONDS", "50TH", "95TH", "99TH", "LARGEST"), rows)
