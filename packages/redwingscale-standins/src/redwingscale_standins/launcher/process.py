"""A child process that prints its ports as one JSON line when it is ready."""

import json
import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

START_SECONDS = 30.0


class ChildProcess:
    """Starts ``python -m MODULE ARGUMENTS``; its log goes to a file."""

    def __init__(self, name: str, module: str, arguments: list[str], log_dir: Path) -> None:
        log_dir.mkdir(parents=True, exist_ok=True)
        self.name = name
        self._log = (log_dir / f"{name}.log").open("ab")
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            start_new_session=True,
        )

    @property
    def pid(self) -> int:
        """Process id, for signals."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self._process.poll() is None

    def read_ready_line(self) -> dict[str, Any]:
        """Return the ports; raise RuntimeError when the process ends or hangs first."""
        assert self._process.stdout is not None
        deadline = time.monotonic() + START_SECONDS
        buffer = b""
        while not buffer.endswith(b"\n"):
            remaining = deadline - time.monotonic()
            readable, _, _ = select.select([self._process.stdout], [], [], max(0.0, remaining))
            chunk = os.read(self._process.stdout.fileno(), 4096) if readable else b""
            if not chunk:
                raise RuntimeError(f"{self.name} did not start; see its log")
            buffer += chunk
        ports: dict[str, Any] = json.loads(buffer)
        return ports

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.running:
            self._process.send_signal(number)

    def wait(self, timeout_seconds: float) -> int | None:
        """Return the exit code; None when it still runs after the time."""
        try:
            return self._process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """End it at once and reap it."""
        if self.running:
            self._process.kill()
        self._process.wait()
        self.close()

    def close(self) -> None:
        """Close the pipe and the log of a process that has ended."""
        if self._process.stdout is not None:
            self._process.stdout.close()
        self._log.close()
