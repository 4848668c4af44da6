"""``python -m redwingscale_standins.launcher``: the demo on embedded stand-ins."""

import json
import signal
import sys
import threading
from pathlib import Path
from typing import Annotated

import typer

from redwingscale_standins.launcher.demo import Demo
from redwingscale_standins.launcher.deployment import Deployment, Speed
from redwingscale_standins.launcher.shape import SHAPES_BY_NAME


def main(
    deployment: str = "izmir",
    directory: Path = Path("build"),
    smoke: Annotated[bool, typer.Option(help="End after the two answers.")] = False,
) -> None:
    """Start a deployment, apply its text, show two answers; go on until Ctrl-C."""
    if deployment not in SHAPES_BY_NAME:
        raise typer.BadParameter(
            f"no deployment {deployment!r}; known: {', '.join(SHAPES_BY_NAME)}"
        )
    running = Deployment(SHAPES_BY_NAME[deployment], directory, Speed())
    # Set for both: a shell that starts the demo in the background has SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        running.start()
        demo = Demo(running, Path("examples") / f"{deployment}.json")
        whole = demo.show()
        (directory / "demo.json").write_text(json.dumps(demo.describe(), indent=2))
        if not smoke:
            print(f"details: {directory / 'demo.json'}; Ctrl-C stops everything", flush=True)
            threading.Event().wait()
    except KeyboardInterrupt:
        whole = True
    finally:
        print("stopping", flush=True)
        running.stop()
    sys.exit(0 if whole else 1)


typer.run(main)
