"""Fixtures: real instances, with a row store and model workers in the test's process."""

import pytest
import urllib3
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_standins.hosted.documents import HOST, document, stream_route
from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.hosted.model_worker import ModelWorker, WorkerTiming
from redwingscale_standins.hosted.raw_worker import RawWorker
from redwingscale_standins.hosted.rows_api import RowsApi
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.hosted.worker_process import WorkerProcess
from redwingscale_standins.soak.faulty_link import FaultyLink
from redwingscale_standins.soak.ledger import Ledger
from redwingscale_standins.soak.process_paths import PathFault, ProcessPaths
from redwingscale_standins.soak.soak_worker import SoakWorker

EVENTS = 6
# A stream is asked for at the faulty worker first, since the sound one is in another domain.
WHOLE = [*range(1, EVENTS + 1)]
DEADLINE_SECONDS = 8.0


class Deployment:
    """A row store, model workers and instances."""

    def __init__(self, directory):
        self._directory = directory
        self._servers = []
        self.rows = RowsApi()
        self.store_port = self._serve(self.rows)
        self.rows.put("op", "config", document(1))
        self.workers = {}
        self.instances = []
        self.processes = []
        self.paths = ProcessPaths()
        self.links = []

    def _serve(self, handler):
        server = HttpServer(handler, "127.0.0.1", 0, ServerLimits(threads=24))
        server.start()
        self._servers.append(server)
        return server.port

    def worker(self, worker_id, *models, timing=None, slots=64, linked=False):
        made = ModelWorker(worker_id, {name: set() for name in models}, timing or WorkerTiming())
        port = self._serve(made)
        if linked:
            port = self.link(port)
        self.workers[made.id] = made
        self.rows.put("servers", made.id, self.entry(made, port) | {"Slots": slots})
        return made

    def worker_process(self, name, *models, linked=False, **timing):
        """Start a worker that requests can end, in a process of its own.

        One behind a link accepts connections also after its process has ended. ``timing`` are
        the seconds that `WorkerProcess` takes.
        """
        open_link = self.link if linked else lambda port: port
        made = WorkerProcess(name, models, self.rows, open_link=open_link, **timing)
        self.processes.append(made)
        return made

    def plain_worker(self, made):
        """List a worker of the plain service, behind a link."""
        port = self.link(self._serve(made))
        self.rows.put("servers", made.id, self.entry(made, port) | {"Service": "plain"})
        return made

    def link(self, port):
        """Return the port of a new link, which may fail for single instances."""
        self.links.append(FaultyLink(port, self.paths))
        return self.links[-1].port

    def cut(self, instance, fault):
        """Cut an instance off from all workers that have links."""
        self.paths.cut(instance.process.pid, fault)
        if fault is PathFault.RESET:
            for link in self.links:
                link.reset_cut()

    def heal(self, instance):
        self.paths.heal(instance.process.pid)

    def entry(self, worker, port, state="ready"):
        models = [{"Name": name, "Version": 1, "Adapters": []} for name in worker.models]
        return {
            "Service": "llm", "Address": f"127.0.0.1:{port}", "Zone": "z1", "Slots": 64,
            "State": state, "Version": "v1", "ColdLeftMs": 0, "Seq": 1, "Models": models,
        }  # fmt: skip

    def instance(
        self, name, pipe=None, store_port=None, request_threads=32, machine=None, **bounds
    ):
        made = InstanceProcess(
            name,
            store_port or self.store_port,
            self._directory,
            pipe,
            request_threads,
            bounds,
            machine,
        )
        self.instances.append(made)
        until(lambda: made.status() == 200, f"readiness of {name}")
        return made

    def leader(self):
        return (self.rows.value("redwingscale", "order-giver") or {}).get("instance")

    def stop(self):
        for instance in self.instances:
            instance.end()
        for process in self.processes:
            process.stop()
        for link in self.links:
            link.close()
        for server in self._servers:
            server.stop()


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path)
    yield made
    made.stop()


@pytest.fixture
def raw_worker(deployment):
    """Start workers with a script, listed with ``entry``; a link passes on no resets."""
    made = []

    def make(script, linked=False, **entry):
        raw = RawWorker("raw", ("m1",), script)
        made.append(raw)
        port = deployment.link(raw.port) if linked else raw.port
        deployment.rows.put("servers", raw.id, deployment.entry(raw, port) | entry)
        return raw

    yield make
    for raw in made:
        raw.stop()


@pytest.fixture
def start_instance(deployment):
    """Start an instance, and wait until the leader has told it which repeats it may send."""

    def start():
        made = deployment.instance("one")
        until(lambda: b"event=former_repeats" in made.log.read_bytes(), "the former repeats")
        return made

    return start


@pytest.fixture
def make_pair(deployment, raw_worker, start_instance):
    """Start an instance before a raw worker with a script and a sound one."""

    def make(script, linked=False):
        deployment.worker("sound", "m1", linked=linked)
        raw = raw_worker(script, linked)
        return start_instance(), raw

    return make


@pytest.fixture
def make_plain(deployment, raw_worker, start_instance):
    """Start an instance before a raw worker and a sound one of a plain service."""

    def make(kind, script):
        configuration = document(1)
        plain = {"Kind": kind, "Service": "plain", "Resumable": False}
        configuration["Routes"].append(stream_route("plain", "/plain/") | plain)
        configuration["Services"].append({"Name": "plain", "MaxConns": 100})
        deployment.rows.put("op", "config", configuration)
        deployment.plain_worker(SoakWorker("sound", set(), Ledger()))
        raw = raw_worker(script, Service="plain")
        return start_instance(), raw

    return make


def first_event(headers):
    """Return the number of the event from which a request asks for a stream."""
    return int(headers.get("last-event-id", "0")) + 1


def until_asked(instance, raw):
    """Request streams until the raw worker was asked; return the answer of that request."""
    for number in range(40):
        answer = instance.request_stream(
            "m1", EVENTS, request=f"r{number}", timeout=DEADLINE_SECONDS
        )
        if raw.requests:
            return answer
    raise AssertionError("the raw worker was never asked")


def ask_plain(instance, raw):
    """Send plain requests until the raw worker was asked; return that answer and its id."""
    url = f"http://127.0.0.1:{instance.ports[0]}/plain/x"
    for number in range(40):
        name = f"p{number}"
        headers = {"Host": HOST, "X-Redwingscale-Request-Id": name}
        answer = urllib3.request(
            "POST", url, body=b"b", headers=headers, retries=False, timeout=DEADLINE_SECONDS
        )
        if raw.requests:
            return answer, name
    raise AssertionError("the raw worker was never asked")
