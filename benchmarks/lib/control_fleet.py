"""Starts many control nodes against one platform stand-in, for the benchmarks."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import urllib3
from redwingscale_standins.launcher.process import ChildProcess

HOST = "127.0.0.1"
KEY = "key-of-the-benchmark-peers"
NODE = Path(__file__).with_name("control_node.py")
STOP_SECONDS = 20.0


class FleetNode:
    """One node process, commanded over its standard input."""

    def __init__(self, name: str, settings_file: Path) -> None:
        self.name = name
        self._process = subprocess.Popen(
            [sys.executable, str(NODE), str(settings_file)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def read(self) -> dict[str, Any]:
        """Return the next line that the node prints."""
        assert self._process.stdout is not None
        value: dict[str, Any] = json.loads(self._process.stdout.readline())
        return value

    def command(self, line: str) -> None:
        """Send one command."""
        assert self._process.stdin is not None
        self._process.stdin.write(f"{line}\n")
        self._process.stdin.flush()

    def close(self) -> None:
        """Let it end by itself, else kill it."""
        assert self._process.stdin is not None
        self._process.stdin.close()

    def wait(self) -> None:
        """Reap it."""
        try:
            self._process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


class Fleet:
    """A platform stand-in and ``count`` nodes in ``domains`` failure domains."""

    def __init__(self, count: int, domains: int, directory: Path) -> None:
        self._directory = directory
        self._pool = urllib3.PoolManager(retries=False, maxsize=4)
        arguments = [f"--threads={max(64, 4 * count)}"]
        module = "redwingscale_standins.platform"
        self._platform = ChildProcess("platform", module, arguments, directory)
        self.platform_url = f"http://{HOST}:{self._platform.read_ready_line()['port']}"
        names = [f"i{number:03}" for number in range(count)]
        self.nodes = [self._start(name, f"d{n % domains}") for n, name in enumerate(names)]
        for number, node in enumerate(self.nodes):
            self._list(node.name, f"d{number % domains}", node.read()["peers_port"])

    def stats(self) -> list[dict[str, Any]]:
        """Return the counters of each node."""
        for node in self.nodes:
            node.command("stats")
        return [node.read() for node in self.nodes]

    def platform_counts(self) -> dict[str, int]:
        """Return what the platform served."""
        response = self._pool.request("GET", f"{self.platform_url}/admin/counts")
        counts: dict[str, int] = response.json()
        return counts

    def stop(self) -> None:
        """End all processes."""
        for node in self.nodes:
            node.close()
        for node in self.nodes:
            node.wait()
        self._platform.kill()

    def _start(self, name: str, domain: str) -> FleetNode:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(self._settings(name, domain)))
        return FleetNode(name, path)

    def _settings(self, name: str, domain: str) -> dict[str, Any]:
        return {
            "instance": {"id": name, "failure_domain": domain, "region": "r"},
            "callers": {"host": HOST, "port": 0},
            "operators": {"host": HOST, "port": 0, "token_sha256": "0" * 64},
            "peers": {"host": HOST, "port": 0, "key": KEY},
            "platform": {"url": self.platform_url},
        }

    def _list(self, name: str, domain: str, port: int) -> None:
        url = f"http://{HOST}:1"
        item = {
            "id": name,
            "kind": "instance",
            "failure_domain": domain,
            "region": "r",
            "state": "live",
            "callers_url": url,
            "operators_url": url,
            "peers_url": f"tcp://{HOST}:{port}",
        }
        self._pool.request("PUT", f"{self.platform_url}/admin/members", json=item)
