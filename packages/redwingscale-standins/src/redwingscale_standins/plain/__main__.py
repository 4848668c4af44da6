"""``python -m redwingscale_standins.plain``: the plain service stand-in."""

import typer

from redwingscale_standins.plain.api import PlainApi
from redwingscale_standins.serve import serve_until_signal


def main(port: int = 0, threads: int = 64, name: str = "plain") -> None:
    """Serve the plain service on loopback until SIGTERM."""
    serve_until_signal(PlainApi(name), host="127.0.0.1", port=port, threads=threads)


typer.run(main)
