"""One small process of the benchmarks: board, mesh and configuration of an instance.

Commands on standard input, one a line: ``stats`` prints one JSON line, ``rate N``
publishes N entries a second from then on.
"""

import json
import resource
import sys
import threading
import time
from pathlib import Path

from redwingscale_common.utils.logs import configure_logs
from redwingscale_daemon._internal.composition.control import Control, build_control
from redwingscale_daemon._internal.settings.load import load_settings
from redwingscale_daemon._internal.store.store import connect_platform

PAYLOAD_BYTES = 60
PAGE_BYTES = resource.getpagesize()


class Observed:
    """What came into force here: version and system-wide monotonic time, in order."""

    def __init__(self) -> None:
        self.versions: list[tuple[int, float]] = []

    def take(self, version: int) -> None:
        """Note that ``version`` came into force now."""
        self.versions.append((version, time.monotonic()))


class Publisher:
    """Publishes entries at a rate, as an owner does with the reports of its upstreams."""

    def __init__(self, control: Control) -> None:
        self._gossip = control.gossip
        self._rate = 0.0
        self._count = 0
        threading.Thread(target=self._run, daemon=True).start()

    def set_rate(self, rate: float) -> None:
        """Publish ``rate`` entries a second from now on."""
        self._rate = rate

    def _run(self) -> None:
        while True:
            time.sleep(1 / self._rate if self._rate else 0.1)
            if self._rate:
                self._count += 1
                self._gossip.publish("load", "k", bytes(PAYLOAD_BYTES))


def stats(control: Control, observed: Observed) -> dict[str, object]:
    """Return the counters of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    traffic = control.traffic
    return {
        "cpu_seconds": time.process_time(),
        "rss_bytes": pages * PAGE_BYTES,
        "bytes_sent": traffic.bytes_sent,
        "bytes_received": traffic.bytes_received,
        "frames_sent": traffic.frames_sent,
        "frames_received": traffic.frames_received,
        "redials": traffic.redials,
        "links": len(control.mesh.linked_peers()),
        "entries": len(control.gossip.stored_entries()),
        "versions": observed.versions,
        "silent": {
            m.id: control.heartbeats.silent_seconds(m.id) for m in control.members.instances()
        },
    }


def main() -> None:
    """Run until standard input ends."""
    settings = load_settings(Path(sys.argv[1]))
    configure_logs("ERROR", instance=settings.instance.id)
    control = build_control(settings, connect_platform(settings.platform, settings.instance.id))
    observed = Observed()
    control.current.on_change(lambda accepted: observed.take(accepted.pointer.version))
    control.listener.start()
    print(json.dumps({"peers_port": control.listener.port}), flush=True)
    for task in control.tasks:
        task.start()
    publisher = Publisher(control)
    for line in sys.stdin:
        match line.split():
            case ["stats"]:
                print(json.dumps(stats(control, observed)), flush=True)
            case ["rate", rate]:
                publisher.set_rate(float(rate))
    for task in control.tasks:
        task.stop()
    control.mesh.stop()
    control.listener.stop()


main()
