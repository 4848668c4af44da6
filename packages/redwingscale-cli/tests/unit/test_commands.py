"""Exit codes and messages of commands that need no instance."""

import json

import pytest
from redwingscale_cli._internal.cli.app import app
from redwingscale_cli._internal.cli.command_table import COMMANDS_BY_NAME
from typer.testing import CliRunner


@pytest.fixture
def run():
    runner = CliRunner()
    return lambda *arguments: runner.invoke(app, [str(a) for a in arguments])


def test_a_valid_text_has_no_findings(run, izmir_text, tmp_path):
    file = tmp_path / "text.json"
    file.write_text(izmir_text)

    result = run("config", "check", file)

    assert (result.exit_code, result.output) == (0, "")


def test_findings_name_the_file_and_the_place(run, izmir_text, tmp_path):
    value = json.loads(izmir_text)
    value["models"]["listing-vetter"]["serving"] = "v9"
    file = tmp_path / "text.json"
    file.write_text(json.dumps(value))

    result = run("config", "check", file)

    assert result.exit_code == 1
    place = "$.models.listing-vetter.serving"
    assert result.output == f"{file}: {place}: no version 'v9' (versions: v1)\n"


def test_a_missing_file_is_a_finding(run, tmp_path):
    result = run("config", "check", tmp_path / "none.json")

    assert result.exit_code == 1
    assert "cannot be read" in result.output


def test_hint_names_the_variable_if_no_instance_is_given(run, monkeypatch):
    monkeypatch.delenv("REDWINGSCALE_INSTANCE", raising=False)

    result = run("status")

    assert result.exit_code == 2
    assert "REDWINGSCALE_INSTANCE" in result.output


def test_unreachable_instance_has_its_own_exit_code(run):
    assert run("--instance", "http://127.0.0.1:1", "status").exit_code == 5


@pytest.mark.parametrize("name", COMMANDS_BY_NAME)
def test_every_command_has_help_with_an_example(run, name):
    result = run(*name.split(), "--help")

    assert result.exit_code == 0
    assert "Example: redwingscale" in result.output
