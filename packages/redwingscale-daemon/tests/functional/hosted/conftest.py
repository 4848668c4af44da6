"""Real instances in front of a row store and model workers that run in the test's process."""

import json
import os
import re
import signal
import subprocess
import sys
import time

import pytest
import urllib3
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_standins.hosted.model_worker import ModelWorker, WorkerTiming
from redwingscale_standins.hosted.rows_api import RowsApi

HOST = "a.example"
WAIT_SECONDS = 30.0
MODELS = [
    {"Name": name, "WeightsMb": 70.0, "LoadS": 0.2, "WarmS": 0.1, "DiskS": 0.1, "Adapters": 2,
     "AdapterMb": 1.0}
    for name in ("m1", "m2", "m3", "m4")
]  # fmt: skip


def document(version, prefix="/live/"):
    route = {
        "Name": "live", "Host": HOST, "Prefix": prefix, "Kind": "streaming", "TimeoutMs": 20000,
        "TargetLatencyMs": 3000, "Priority": 1, "Service": "llm", "MaxAttempts": 3,
        "Resumable": True, "GapTargetMs": 1000,
    }  # fmt: skip
    engine = {
        "Slots": 64, "KvCapacity": 100000, "WeightsMb": 150.0, "AdapterSlots": 2,
        "LoadsPerS": 10.0, "Models": MODELS,
    }  # fmt: skip
    services = [{"Name": "llm", "MaxConns": 100, "Engine": engine}]
    return {"Version": version, "Routes": [route], "Services": services}


class Instance:
    """One ``redwingscaled`` process."""

    def __init__(self, name, store_port, directory, pipe=None):
        self.name = name
        self.settings = {
            "instance": name,
            "failure_domain": "z1",
            "host": "127.0.0.1",
            "callers": "127.0.0.1:0",
            "readiness": "127.0.0.1:0",
            "peer_ports": [0, 0],
            "store": f"127.0.0.1:{store_port}",
            "metrics_port": 0,
            "request_threads": 32,
            "bounds": {
                "repeat_ratio": 0.2, "repeat_slack": 100, "repeat_window": 10,
                "order_quiet_ms": 300, "stop_grace": 12, "load_window": 5,
            },
        }  # fmt: skip
        self._file = directory / f"{name}.json"
        self._file.write_text(json.dumps({"ingress": self.settings}))
        self.log = directory / f"{name}.log"
        self._pipe = pipe
        self._stdout = pipe[1] if pipe else self.log.open("wb")
        self.ports = None
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "redwingscale_daemon", "--settings", str(self._file)],
            stdout=self._stdout,
            stderr=subprocess.STDOUT,
        )
        until(self._has_started, f"the start of {self.name}")

    def _has_started(self):
        """Learn the ports from the line of the start; the process takes free ones."""
        text = os.read(self._pipe[0], 65536) if self._pipe else self.log.read_bytes()
        line = re.search(rb"event=started .*callers_port=(\d+) probe_ports=(\d+),(\d+)", text)
        if line is None:
            assert self.process.poll() is None, f"{self.name} ended: {text[-500:]!r}"
            return False
        self.ports = [int(port) for port in line.groups()]
        return True

    def status(self):
        try:
            url = f"http://127.0.0.1:{self.ports[1]}/api/readyz"
            return urllib3.request("GET", url, retries=False, timeout=2.0).status
        except urllib3.exceptions.HTTPError:
            return None

    def metrics(self):
        url = f"http://127.0.0.1:{self.ports[2]}/metrics"
        return urllib3.request("GET", url, retries=False, timeout=5.0).data.decode()

    def ask(self, model="m1", events=3, path="/live/x", request="r1", timeout=25.0):
        """Return status and the numbers of the events of one stream."""
        headers = {
            "Host": HOST,
            "X-Redwingscale-Request-Id": request,
            "X-Redwingscale-Model-Name": model,
            "X-Redwingscale-Token-Usage": f"10,{events}",
        }
        answer = urllib3.request(
            "POST", f"http://127.0.0.1:{self.ports[0]}{path}", body=b"{}", headers=headers,
            retries=False, timeout=timeout,
        )  # fmt: skip
        lines = answer.data.decode().splitlines()
        return answer.status, [int(one[4:]) for one in lines if one.startswith("id: ")]

    def end(self, number=signal.SIGKILL):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)
        return self.process.wait(WAIT_SECONDS)


def until(condition, what):
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, f"{what} did not come"
        time.sleep(0.05)


class Deployment:
    """A store, workers and instances."""

    def __init__(self, directory):
        self._directory = directory
        self._servers = []
        self.rows = RowsApi()
        self.store_port = self._serve(self.rows)
        self.rows.put("op", "config", document(1))
        self.workers = {}
        self.instances = []

    def _serve(self, handler):
        server = HttpServer(handler, "127.0.0.1", 0, ServerLimits(threads=24))
        server.start()
        self._servers.append(server)
        return server.port

    def worker(self, worker_id, *models, timing=None):
        made = ModelWorker(worker_id, {name: set() for name in models}, timing or WorkerTiming())
        port = self._serve(made)
        self.workers[worker_id] = made
        self.rows.put("servers", worker_id, self.entry(made, port))
        return made

    def entry(self, worker, port, state="ready"):
        models = [{"Name": name, "Version": 1, "Adapters": []} for name in worker.models]
        return {
            "Service": "llm", "Address": f"127.0.0.1:{port}", "Zone": "z1", "Slots": 64,
            "State": state, "Models": models,
        }  # fmt: skip

    def instance(self, name, pipe=None):
        made = Instance(name, self.store_port, self._directory, pipe)
        self.instances.append(made)
        until(lambda: made.status() == 200, f"readiness of {name}")
        return made

    def giver(self):
        return (self.rows.value("redwingscale", "order-giver") or {}).get("instance")

    def stop(self):
        for instance in self.instances:
            instance.end()
        for server in self._servers:
            server.stop()


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path)
    yield made
    made.stop()
