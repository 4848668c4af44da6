"""What the demo does with a running deployment."""

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from redwingscale_standins.engine.generation import answer_text
from redwingscale_standins.launcher.client import Answer, Client, demo_token
from redwingscale_standins.launcher.deployment import OPERATORS_TOKEN, Deployment

TOKENS = 24
PROMPT = "lot 17"
PATIENCE_SECONDS = 60.0


class Demo:
    """Applies the example text and tries one model and one plain service."""

    def __init__(self, deployment: Deployment, text_file: Path) -> None:
        self._deployment = deployment
        self._client = Client(deployment)
        self._text = text_file.read_text()
        self._configuration = json.loads(self._text)
        members = deployment.members_by_id.values()
        self._instances = [m.id for m in members if m.kind == "instance"]

    def show(self) -> bool:
        """Print what runs and both answers; return whether both were whole."""
        self._print_addresses()
        applied = self._client.apply(self._instances[0], self._text)
        print(f"applied version {applied.document.get('version')}", flush=True)
        streamed = self._show_stream(self._first_service("model"))
        called = self._show_call(self._first_service("plain"))
        return streamed and called

    def describe(self) -> dict[str, Any]:
        """Return the content of ``build/demo.json``."""
        callers = self._configuration["callers"]
        return {
            "members": self._deployment.describe(),
            "operators_token": OPERATORS_TOKEN,
            "caller_tokens": {caller: demo_token(caller) for caller in callers},
        }

    def _print_addresses(self) -> None:
        for member in self._deployment.members_by_id.values():
            urls = " ".join(f"{k}={v}" for k, v in member.urls_by_name.items())
            print(f"{member.kind:9} {member.id:28} domain={member.failure_domain or '-'} {urls}")

    def _first_service(self, kind: str) -> str:
        services = self._configuration["services"].items()
        return next(name for name, service in services if service["kind"] == kind)

    def _show_stream(self, service: str) -> bool:
        item = self._configuration["services"][service]
        model = item["depends_on"][0]["model"]
        version = self._configuration["models"][model]["serving"]
        caller = item["callers"][0]
        answer = _until_answered(
            lambda: self._client.complete(self._instances[-1], caller, model, PROMPT, TOKENS)
        )
        print(f"model {model} answered, trace {_trace(answer)}:\n  {answer.text}", flush=True)
        return answer.text == answer_text(f"{model}@{version}", PROMPT, TOKENS)

    def _show_call(self, service: str) -> bool:
        caller = self._configuration["services"][service]["callers"][0]
        body = {"lot": 17, "bid": 250}
        path = f"/services/{service}/register"
        headers = {"Idempotency-Key": "demo-1"}
        answer = _until_answered(
            lambda: self._client.post(self._instances[-1], path, caller, body, headers)
        )
        print(f"service {service} answered, trace {_trace(answer)}:\n  {answer.body.decode()}")
        return answer.status == 200 and json.loads(answer.document["echo"]) == body


def _until_answered(ask: Callable[[], Answer]) -> Answer:
    deadline = time.monotonic() + PATIENCE_SECONDS
    while True:
        answer = ask()
        if answer.status == 200 or time.monotonic() > deadline:
            return answer
        time.sleep(0.25)


def _trace(answer: Answer) -> str:
    parts = answer.headers.get("traceparent", "").split("-")
    return parts[1] if len(parts) > 1 else "-"
