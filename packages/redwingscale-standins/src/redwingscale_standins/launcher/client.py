"""A caller and an operator of a running deployment, for the demo and for tests."""

import json
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

import urllib3

from redwingscale_standins.launcher.deployment import OPERATORS_TOKEN, Deployment

PATIENCE_SECONDS = 60.0
POLL_SECONDS = 0.1


def demo_token(caller: str) -> str:
    """Return the bearer token of a caller in the example texts."""
    return f"demo-{caller}-token"


class Answer(NamedTuple):
    """A response; ``text`` is set when it is a whole streamed answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    text: str | None

    @property
    def document(self) -> dict[str, Any]:
        """The JSON object in the body."""
        value: dict[str, Any] = json.loads(self.body)
        return value


class Client:
    """Calls the instances of ``deployment`` by their ids."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._pool = urllib3.PoolManager(retries=False, maxsize=256)

    def complete(
        self,
        instance: str,
        caller: str,
        model: str,
        prompt: str,
        max_tokens: int,
        **headers: str,
    ) -> Answer:
        """Ask for a streamed completion and read all of it."""
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
        answer = self.post(instance, "/v1/completions", caller, body, headers)
        return answer._replace(text=_whole_text(answer.body))

    def post(
        self,
        instance: str,
        path: str,
        caller: str,
        body: object,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a JSON body as ``caller``; raise a urllib3 error when the answer is cut."""
        url = self._deployment.members_by_id[instance].urls_by_name["callers_url"] + path
        sent = {"Authorization": f"Bearer {demo_token(caller)}"} | dict(headers or {})
        response = self._pool.request(
            "POST", url, json=body, headers=sent, timeout=PATIENCE_SECONDS
        )
        return Answer(response.status, response.headers, response.data, None)

    def operate(self, instance: str, method: str, path: str, body: object = None) -> Answer:
        """Call the operators' interface."""
        url = self._deployment.members_by_id[instance].urls_by_name["operators_url"] + path
        headers = {"Authorization": f"Bearer {OPERATORS_TOKEN}"}
        response = self._pool.request(method, url, json=body, headers=headers, timeout=10.0)
        return Answer(response.status, response.headers, response.data, None)

    def apply(self, instance: str, text: str, base_version: int = 0) -> Answer:
        """Put ``text`` in force in place of ``base_version``."""
        body = {"text": text, "base_version": base_version, "author": "demo"}
        return self.operate(instance, "POST", "/configuration", body)

    def wait_until_resident(self, instance: str, units: set[str]) -> None:
        """Wait until ``instance`` knows an engine for each of ``units``."""
        self.wait_for(lambda: units <= self._resident(instance), f"{units} resident")

    def wait_for(self, condition: Any, what: str, seconds: float = PATIENCE_SECONDS) -> None:
        """Poll ``condition``; raise TimeoutError after ``seconds``."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(what)
            time.sleep(POLL_SECONDS)

    def _resident(self, instance: str) -> set[str]:
        models = self.operate(instance, "GET", "/models").document
        return {unit for unit, item in models.items() if item["engines"]}


def _whole_text(body: bytes) -> str | None:
    """Return the text of a stream that has its end, else None."""
    lines = [line[6:] for line in body.decode().splitlines() if line.startswith("data: ")]
    if not lines or lines[-1] != "[DONE]":
        return None
    chunks = [json.loads(line) for line in lines[:-1]]
    return "".join(chunk["choices"][0]["text"] for chunk in chunks)
