"""A ``redwingscaled`` process on loopback that routes by host and path."""

import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import urllib3

from redwingscale_standins.hosted.documents import HOST
from redwingscale_standins.hosted.waiting import WAIT_SECONDS, until
from redwingscale_standins.repeats.rule import RepeatRule

# The budget for repeats, unless another one is set.
REPEAT_RULE = RepeatRule(ratio=0.2, slack=100, window_seconds=10)


class InstanceProcess:
    """Starts the process on construction; ``ports`` are the caller, readiness and metrics ports."""

    def __init__(
        self,
        name: str,
        store_port: int,
        directory: Path,
        pipe: tuple[int, int] | None = None,
        request_threads: int = 32,
        bounds: dict[str, Any] | None = None,
        machine: dict[str, float] | None = None,
    ) -> None:
        self.name = name
        self.settings: dict[str, Any] = {
            "instance": name,
            "failure_domain": "z1",
            "host": "127.0.0.1",
            "callers": "127.0.0.1:0",
            "readiness": "127.0.0.1:0",
            "peer_ports": [0, 0],
            "store": f"127.0.0.1:{store_port}",
            "metrics_port": 0,
            "request_threads": request_threads,
            "bounds": {
                "repeat_ratio": REPEAT_RULE.ratio,
                "repeat_slack": REPEAT_RULE.slack,
                "repeat_window": REPEAT_RULE.window_seconds,
                "order_quiet_ms": 300,
                "stop_grace": 12,
                "load_window": 5,
            }
            | (bounds or {}),
        }
        if machine:
            self.settings["machine"] = machine
        self._file = directory / f"{name}.json"
        self._file.write_text(json.dumps({"ingress": self.settings}))
        self.log = directory / f"{name}.log"
        self._pipe = pipe
        self._stdout: Any = pipe[1] if pipe else self.log.open("ab")
        self._log_offset = 0
        self.ports: list[int] = []
        self.start()

    def start(self) -> None:
        """Start or restart the process and wait until its ports are known."""
        self.ports = []
        self._log_offset = self.log.stat().st_size if self._pipe is None else 0
        self.process = subprocess.Popen(
            [sys.executable, "-m", "redwingscale_daemon", "--settings", str(self._file)],
            stdout=self._stdout,
            stderr=subprocess.STDOUT,
        )
        until(self._has_started, f"the start of {self.name}")

    def _has_started(self) -> bool:
        """Read the ports from the start-up log line, since the process binds to free ports."""
        if self._pipe:
            text = os.read(self._pipe[0], 65536)
        else:
            text = self.log.read_bytes()[self._log_offset :]
        line = re.search(rb"event=started .*callers_port=(\d+) probe_ports=(\d+),(\d+)", text)
        if line is None:
            assert self.process.poll() is None, f"{self.name} ended: {text[-500:]!r}"
            return False
        self.ports = [int(port) for port in line.groups()]
        return True

    def status(self) -> int | None:
        """Return the readiness port's status, or None if it does not respond."""
        try:
            url = f"http://127.0.0.1:{self.ports[1]}/api/readyz"
            return urllib3.request("GET", url, retries=False, timeout=2.0).status
        except (urllib3.exceptions.HTTPError, IndexError):
            return None

    def metrics(self) -> str:
        """Return the metrics page."""
        url = f"http://127.0.0.1:{self.ports[2]}/metrics"
        return urllib3.request("GET", url, retries=False, timeout=5.0).data.decode()

    def most_memory_mb(self) -> float:
        """Return the most resident memory that the running process has had, in megabytes."""
        assert self.process.poll() is None, f"{self.name} has ended"
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", text)
        assert found is not None
        return int(found.group(1)) * 1024 / 1e6

    def request_stream(
        self,
        model: str = "m1",
        events: int = 3,
        path: str = "/live/x",
        request: str = "r1",
        timeout: float = 25.0,
        key: str | None = None,
        body: bytes = b"{}",
        parts: str | None = None,
    ) -> tuple[int, list[int]]:
        """Request one stream and return its status and the ids of its events.

        ``parts`` is the header that names the parts of its prompt.
        """
        headers = {
            "Host": HOST,
            "X-Redwingscale-Request-Id": request,
            "X-Redwingscale-Model-Name": model,
            "X-Redwingscale-Token-Usage": f"10,{events}",
        }
        if parts is not None:
            headers["X-Redwingscale-Prefix-Hash"] = parts
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        url = f"http://127.0.0.1:{self.ports[0]}{path}"
        response = urllib3.request(
            "POST", url, body=body, headers=headers, retries=False, timeout=timeout
        )
        lines = response.data.decode().splitlines()
        return response.status, [int(line[4:]) for line in lines if line.startswith("id: ")]

    def end(self, signal_number: int = signal.SIGKILL) -> int:
        """Send a signal to the process if it is running, and return its exit code."""
        if self.process.poll() is None:
            os.kill(self.process.pid, signal_number)
        return self.process.wait(WAIT_SECONDS)
