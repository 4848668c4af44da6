"""A model worker: reports, orders and streams, with restarts under its id."""

import json
import threading
import time

from world import PlainWorker, answer


class ModelWorker(PlainWorker):
    """Loads and unloads models as ordered; crashes if ordered to load more than it holds.

    ``leaves_unanswered`` is asked with each order whether it is left unanswered, and for how many
    seconds until it is carried out; None answers it at once.
    """

    def __init__(self, name, record, resident, weights_mb, models, **options):
        self.resident = {model: set() for model in resident}
        # By name: the megabytes and the seconds of a load from the disk.
        self._models, self._weights_mb = models, weights_mb
        self.on_disk = sorted(models)
        self.sequence, self._busy, self._down = 0, False, False
        self.born = int(time.time() * 1000)
        self._lock = threading.RLock()
        self.leaves_unanswered = lambda order: None
        self.orders, self.overloads = [], []
        super().__init__(name, record, service="llm", **options)

    def entry(self):
        """Return its row in the list of workers."""
        return super().entry() | {
            "Slots": 64,
            "Stage": "colocated",
            "Models": self._model_list(),
            "AtHand": {"InMemory": [], "OnDisk": self.on_disk},
            "Seq": 1,
            "born": self.born,
        }

    def _model_list(self):
        return [
            {"Name": name, "Version": 1, "Adapters": sorted(adapters)}
            for name, adapters in self.resident.items()
        ]

    def crash(self, seconds):
        """Crash, and start again under the same id after ``seconds``, with nothing loaded."""
        with self._lock:
            self._down = True
            self.resident, self.sequence, self._busy = {}, 0, False
        self._record.line(f"crash    {self.id}")
        time.sleep(seconds)
        with self._lock:
            self.born = int(time.time() * 1000)
            self._down = False
        self._record.line(f"start    {self.id} born {self.born}")

    def call(self, target, headers, body):
        """Answer a report or an order."""
        if self._down:
            return None
        if target == "/api/report":
            with self._lock:
                report = {
                    "Stage": "colocated", "Models": self._model_list(), "Busy": self._busy,
                    "Seq": self.sequence, "Queued": 0, "Running": 0, "KvUsed": 0,
                    "KvTotal": 90000, "Handles": 0, "Loading": [], "born": self.born,
                    "AtHand": {"InMemory": [], "OnDisk": self.on_disk},
                }  # fmt: skip
            return _json(200, report)
        if target != "/api/order":
            return answer(404, {})
        if headers.get("x-redwingscale-expect-instance", self.id) != self.id:
            return answer(421, {"X-Redwingscale-Instance-Id": self.id})
        order = json.loads(body)
        late = self.leaves_unanswered(order)
        if late is None:
            return answer(self.carry_out(order, "order"), {})
        self._record.line(f"unanswered {self.id} {_text(order)}, carried out in {late} s")
        threading.Timer(late, self.carry_out, [order, "late"]).start()
        time.sleep(30.0)
        return None

    def carry_out(self, order, how):
        """Carry out an order if it still fits; return the status of its answer."""
        with self._lock:
            status = self._apply(order)
        self._record.line(f"{how:8} {self.id} {_text(order)}: {status}, Seq {self.sequence}")
        self.orders.append((time.monotonic(), how, order, status))
        return status

    def _apply(self, order):
        model, adapter = order["Model"], order.get("Adapter")
        if self._down or self._busy or order.get("Expect", self.sequence) != self.sequence:
            return 409
        if adapter is not None:
            return self._apply_adapter(order["Op"], model, adapter)
        if order["Op"] == "unload":
            if model not in self.resident:
                return 200
            self.sequence += 1
            del self.resident[model]
            return 202
        if model in self.resident:
            return 200
        self.sequence += 1
        used = sum(self._models[name][0] for name in self.resident)
        if used + self._models[model][0] > self._weights_mb:
            self.overloads.append((order, used))
            threading.Thread(target=self.crash, args=(1.0,), daemon=True).start()
            return 202
        self._busy = True
        threading.Timer(self._models[model][1], self._finish, [model, self.born]).start()
        return 202

    def _apply_adapter(self, operation, model, adapter):
        adapters = self.resident.get(model)
        if adapters is None:
            return 400
        if (adapter in adapters) == (operation == "load"):
            return 200
        self.sequence += 1
        (adapters.add if operation == "load" else adapters.discard)(adapter)
        return 202 if operation == "load" else 200

    def _finish(self, model, born):
        with self._lock:
            if born == self.born and not self._down:
                self.resident[model] = set()
                self._busy = False
                self._record.line(f"loaded   {self.id} {model}")

    def serve(self, connection, reader, headers, request):
        """Run a stream of a model that is resident."""
        reader.read(int(headers.get("content-length", "0")))
        name, _, _ = headers.get("x-redwingscale-model-name", "").partition("/")
        if self._down:
            return False
        if name not in self.resident:
            connection.sendall(self.refusal(421, request))
            return True
        self.note_run(request)
        count = int(headers.get("x-redwingscale-token-usage", "0,1").split(",")[1])
        first = int(headers.get("last-event-id", "0")) + 1
        events = "".join(f"id: {n}\ndata: t{n}\n\n" for n in range(first, count + 1))
        time.sleep(self.work_seconds)
        connection.sendall(self.sealed(request, events.encode()))
        return True


def _json(status, document):
    return answer(status, {"Content-Type": "application/json"}, json.dumps(document).encode())


def _text(order):
    return " ".join(f"{key}={value}" for key, value in order.items())
