"""``python -m redwingscale_standins.engine``: one engine stand-in."""

from typing import Annotated

import typer

from redwingscale_standins.engine.alder import AlderApi
from redwingscale_standins.engine.birch import BirchApi
from redwingscale_standins.engine.engine import Engine
from redwingscale_standins.engine.memory import READY
from redwingscale_standins.engine.profile import Profile
from redwingscale_standins.serve import serve_until_signal


def main(
    vendor: str = "alder",
    port: int = 0,
    threads: int = 128,
    memory_bytes: int = 160_000_000_000,
    slots: int = 32,
    token_gap_seconds: float = 0.01,
    batch_slowdown: float = 1.0,
    block_prefill_seconds: float = 0.002,
    cache_blocks: int = 4096,
    report_lag_seconds: float = 0.5,
    weights_url: str = "",
    checks_fencing: bool = True,
    resident: Annotated[
        list[str] | None, typer.Option(help="UNIT=BYTES, resident at the start.")
    ] = None,
) -> None:
    """Serve one engine on loopback until SIGTERM."""
    profile = Profile(
        memory_bytes=memory_bytes,
        slots=slots,
        token_gap_seconds=token_gap_seconds,
        batch_slowdown=batch_slowdown,
        block_prefill_seconds=block_prefill_seconds,
        cache_blocks=cache_blocks,
        report_lag_seconds=report_lag_seconds,
    )
    fencing = checks_fencing and vendor == "alder"
    engine = Engine(profile, weights_url, checks_fencing=fencing)
    for item in resident or []:
        unit, _, size_bytes = item.rpartition("=")
        engine.memory.add(unit, int(size_bytes))
        engine.memory.set_phase(unit, READY)
    api: AlderApi | BirchApi
    match vendor:
        case "alder":
            api = AlderApi(engine)
        case "birch":
            api = BirchApi(engine)
        case _:
            raise typer.BadParameter(f"no vendor {vendor!r}")
    serve_until_signal(api, host="127.0.0.1", port=port, threads=threads)


typer.run(main)
