"""Consumers send bodies that the limits allow; the memory of the instances is watched."""

import os
import re
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit import (  # noqa: E402
    Deployment,
    Instance,
    could_not_run,
    manifest,
    numbers,
    route,
    verdict,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The sheets of the small deployments: 300 MB a machine. Limits of the manifest: 4 MiB a body.
MEMORY_BYTES = 300_000_000
MAX_BODY_BYTES = 4 << 20
# The largest body of a request in the sheets, for the run without the disruption.
USUAL_BODY_BYTES = 14_000
BODY_BYTES = MAX_BODY_BYTES if TROUBLE else USUAL_BODY_BYTES
CONSUMERS = 12
SECONDS = 30.0
# "On a tenth of the machines in use (two at least) processes end by themselves three times".
ENDS, MACHINES = 3, 2
RESTART_SECONDS = 0.5
# A process starts with less than this.
WATCH_SECONDS = 0.02


def memory_of(instance: Instance) -> int:
    """Return the bytes of the process's own memory, without what it maps from files."""
    assert instance.process is not None
    text = Path(f"/proc/{instance.process.pid}/status").read_text()
    found = re.search(r"RssAnon:\s+(\d+) kB", text)
    return int(found.group(1)) * 1024 if found else 0


def consume(deployment: Deployment, instance: Instance, name: str, until: float) -> None:
    """Send one request after another, each on a new channel, as one consumer does."""
    body = b"x" * BODY_BYTES
    for request_id in numbers(name):
        if time.monotonic() > until:
            return
        try:
            consumer = instance.consumer(10.0)
        except OSError:
            time.sleep(0.2)
            continue
        try:
            consumer.send("POST", "/book/x", request_id, body, X_Redwingscale_Deadline_Ms="4000")
            answer = consumer.receive(request_id)
        except OSError:
            time.sleep(0.2)
            continue
        finally:
            consumer.close()
        time.sleep(float(answer.headers.get("retry-after", "0")))


def main() -> int:
    """Run the case and return the exit code."""
    with Deployment(HERE / "record.txt") as deployment:
        document = manifest(1, route("book", "unsafe", "desk"))
        document["Limits"] = {"MaxBodyBytes": MAX_BODY_BYTES}
        deployment.store.put("op", "config", document)
        for number in range(3):
            deployment.worker(f"w{number}", "desk")
        machines = [deployment.instance(f"m{number}") for number in range(MACHINES)]
        if not deployment.await_ready():
            return could_not_run(deployment.record, "the instances did not become ready")
        until = time.monotonic() + SECONDS
        for one in machines:
            for number in range(CONSUMERS):
                name = f"{one.name}c{number:02d}n"
                arguments = (deployment, one, name, until)
                threading.Thread(target=consume, args=arguments, daemon=True).start()
        ends, most = watch(deployment, machines, until)
        for name, count in ends.items():
            deployment.record.note(f"{name}: {count} ends for memory, at most {most[name]} bytes")
        over = [name for name, count in ends.items() if count >= ENDS]
        broken = [
            f"Fault: {name} went over {MEMORY_BYTES} bytes of memory {ends[name]} times"
            for name in over
        ]
        return verdict(deployment.record, broken if len(over) >= MACHINES else [])


def watch(
    deployment: Deployment, machines: list[Instance], until: float
) -> tuple[dict[str, int], dict[str, int]]:
    """Kill each process that exceeds its memory, and start it again, as the platform does."""
    ends = dict.fromkeys((one.name for one in machines), 0)
    most = dict(ends)
    while time.monotonic() < until and min(ends.values()) < ENDS:
        for one in machines:
            held = memory_of(one)
            most[one.name] = max(most[one.name], held)
            if held > MEMORY_BYTES:
                deployment.record.note(f"{one.name} holds {held} bytes: the platform kills it")
                ends[one.name] += 1
                one.end()
                time.sleep(RESTART_SECONDS)
                one.start()
        time.sleep(WATCH_SECONDS)
    return ends, most


if __name__ == "__main__":
    sys.exit(main())
