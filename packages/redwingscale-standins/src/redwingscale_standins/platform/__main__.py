"""``python -m redwingscale_standins.platform``: the platform stand-in."""

import typer

from redwingscale_standins.platform.api import PlatformApi
from redwingscale_standins.platform.weights import WeightStore
from redwingscale_standins.serve import serve_until_signal


def main(
    port: int = 0,
    threads: int = 64,
    bytes_per_second: float = 40e9,
    full_speed_loads: int = 7,
) -> None:
    """Serve the platform on loopback until SIGTERM."""
    weights = WeightStore(bytes_per_second, full_speed_loads)
    serve_until_signal(PlatformApi(weights), host="127.0.0.1", port=port, threads=threads)


typer.run(main)
