"""What an instance is cut off from, as told to its process."""

import json
from pathlib import Path
from typing import NamedTuple


class Cut(NamedTuple):
    """Connections to other ``instances`` or to the ``store`` hold their bytes.

    A cut from the instances loses all datagrams as well; without one, the part ``lost`` of
    them is. ``open_ports`` are those of callers, probes and workers, which stay in reach.
    """

    instances: bool = False
    store: bool = False
    lost: float = 0.0
    store_port: int = 0
    open_ports: tuple[int, ...] = ()


def control_file(settings: Path) -> Path:
    """Return the file in which the process with these settings finds its cut."""
    return settings.with_suffix(".cut")


def write_cut(settings: Path, cut: Cut) -> None:
    """Put ``cut`` in force at the process with these settings."""
    path = control_file(settings)
    # The process may read at any time.
    whole = path.with_suffix(".new")
    whole.write_text(json.dumps(cut._asdict()))
    whole.replace(path)
