"""Runs one stand-in: its port, its line with the address, its end by signal."""

import json
import signal
import threading

from redwingscale_common.network.server import HttpServer, ServerLimits


def serve_until_signal(handler: object, *, host: str, port: int, threads: int) -> None:
    """Serve ``handler``, print ``{"port": N}``, and return on SIGTERM or SIGINT."""
    server = HttpServer(handler, host, port, ServerLimits(threads=threads))
    server.start()
    print(json.dumps({"port": server.port}), flush=True)
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    stopped.wait()
    server.stop()
