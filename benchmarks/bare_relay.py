"""The yardstick: a relay on the same stack that does nothing but pass bytes on."""

from collections.abc import Iterator
from typing import Any

import cherrypy
import typer
from redwingscale_common.network.client import new_pool
from redwingscale_common.network.exchange import read_body
from redwingscale_standins.serve import serve_until_signal


class BareRelay:
    """CherryPy in, urllib3 out, one thread a stream."""

    def __init__(self, urls: list[str]) -> None:
        self._urls = urls
        self._pool = new_pool()

    @cherrypy.expose
    def default(self, *segments: str, **query: Any) -> Iterator[bytes]:
        """Pass the request to the engine numbered first in the path."""
        number, *path = segments
        url = self._urls[int(number)] + "/" + "/".join(path)
        body = read_body(1 << 20)
        response = self._pool.request("POST", url, body=body, preload_content=False)
        cherrypy.response.stream = True
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        return response.stream(decode_content=False)


def main(urls: str, threads: int = 320) -> None:
    """Relay to the comma-separated ``urls`` until SIGTERM."""
    serve_until_signal(BareRelay(urls.split(",")), host="127.0.0.1", port=0, threads=threads)


if __name__ == "__main__":
    typer.run(main)
