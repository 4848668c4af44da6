"""An operator's session with a deployment of real processes."""

import json

import pytest
from redwingscale_cli._internal.cli.app import app
from redwingscale_standins.launcher.client import Client, demo_token
from redwingscale_standins.launcher.deployment import OPERATORS_TOKEN
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, Shape
from typer.testing import CliRunner

SHAPE = Shape(
    name="small",
    region="r",
    instances_by_id={"one": "a", "two": "a"},
    engines=(EngineShape("engine", "a", "alder", 2, 800 * GIGABYTE),),
    plain=(),
    full_speed_loads=100,
)
UNIT = "listing-vetter@v1"
MAX_MOVES_PER_ENGINE = 50


class Session:
    """Runs commands against any instance and keeps the configuration text that they apply."""

    def __init__(self, deployment, text, directory):
        self.deployment = deployment
        self.client = Client(deployment)
        self.file = directory / "text.json"
        self.value = json.loads(text) | {
            "weight_store": {"loads_per_second": 100, "concurrent_loads": 50}
        }

    def run(self, instance, *arguments):
        url = self.deployment.members_by_id[instance].urls_by_name["operators_url"]
        shared = ["--instance", url, "--token", OPERATORS_TOKEN]
        return CliRunner().invoke(app, [*shared, *(str(a) for a in arguments)])

    def read(self, instance, *arguments):
        """Return the JSON output of a command that must succeed."""
        result = self.run(instance, *arguments, "--json")
        assert result.exit_code == 0, result.output
        return json.loads(result.stdout)

    def apply(self, instance, *arguments, **policy):
        self.value["policy"] = policy
        self.file.write_text(json.dumps(self.value))
        return self.run(instance, "config", "apply", self.file, "--author", "meral", *arguments)


@pytest.fixture
def session(make_deployment, izmir_text, tmp_path):
    return Session(make_deployment(SHAPE), izmir_text, tmp_path)


def test_every_command_works_against_any_instance(session):
    assert session.apply("one", moves_weight=0.3).exit_code == 0
    session.client.wait_until_resident("two", {UNIT})
    assert session.apply("two", moves_weight=0.4).exit_code == 0
    assert session.run("one", "config", "rollback", "1").exit_code == 0

    history = session.read("two", "config", "history")
    shown = json.loads(session.read("two", "config", "show")["text"])
    session.client.wait_for(
        # The last 50 moves of an engine are stored, and this engine makes 77.
        lambda: len(session.read("two", "moves")) == MAX_MOVES_PER_ENGINE,
        "the last moves",
    )

    assert [item["version"] for item in history] == [3, 2, 1]
    assert history[1]["author"] == "meral"
    assert shown["policy"] == {"moves_weight": 0.3}
    assert {(m["action"], m["outcome"]) for m in session.read("one", "moves")} == {("load", "done")}
    status = session.read("two", "status")
    assert status["version_by_instance"].keys() == {"one", "two"}
    assert status["lease_by_name"]["engine"]["holder"] in ("one", "two")
    assert "planner" in status["lease_by_name"]
    assert session.read("one", "models")[UNIT]["engines"] == ["engine"]
    assert session.read("one", "upstreams")["engine"]["vendor"] == "alder"
    for command in ("status", "models", "upstreams", "moves"):
        assert session.run("two", command).exit_code == 0


def test_second_operator_gets_the_difference(session):
    """Two operators edit the same version; the second applies after the first.

    The second must not silently undo the edit of the first: it is refused, with the version
    that was applied first and the difference, and nothing changes.
    """
    assert session.apply("one", moves_weight=0.3).exit_code == 0
    assert session.apply("one", "--base", "1", moves_weight=0.4).exit_code == 0

    second = session.apply("two", "--base", "1", moves_weight=0.9)

    assert second.exit_code == 4
    assert '-    "moves_weight": 0.4' in second.output
    assert '+    "moves_weight": 0.9' in second.output
    assert "--base 2" in second.output


def test_the_load_tool_reports_attainment(session):
    session.apply("one", moves_weight=0.3)
    session.client.wait_until_resident("one", {UNIT})
    urls = session.deployment.members_by_id["one"].urls_by_name

    report = session.read(
        "one",
        *("load", "--url", urls["callers_url"], "--caller-token", demo_token("clerks")),
        *("--model", "listing-vetter", "--rate", "20", "--seconds", "1", "--max-tokens", "4"),
    )

    assert report["count_by_outcome"].keys() == {"whole"}
    assert report["tokens"] == 4 * report["requests"] > 0


def test_drain_request_ends_only_the_named_instance(session):
    session.apply("one", moves_weight=0.3)
    # A drain request names a process that the instance knows: until "one" has received
    # gossip from "two", it refuses the request as for an unknown instance.
    session.client.wait_for(
        lambda: session.read("one", "status")["version_by_instance"].get("two") == 1,
        "gossip from two",
    )

    assert session.run("one", "drain", "two").exit_code == 0

    assert session.deployment.members_by_id["two"].process.wait(30.0) == 0
    assert session.deployment.members_by_id["one"].process.running
    assert session.run("one", "drain", "nobody").exit_code == 3
