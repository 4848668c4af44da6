"""Which client processes a link fails for, so that several processes can share its address."""

import enum
import socket
from pathlib import Path

_CONNECTIONS = Path("/proc/net/tcp")


class PathFault(enum.Enum):
    """What happens to the connections of a process.

    ``HOLD`` holds all bytes, ``RESET`` resets open and new connections, ``REFUSE_NEW`` resets
    new ones while open ones live on.
    """

    HOLD = "hold"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"


class ProcessPaths:
    """The faults of client processes, shared by all links that these processes use."""

    def __init__(self) -> None:
        self._fault_by_pid: dict[int, PathFault] = {}
        # Rises with each change: what was found out about a connection before is outdated.
        self.version = 0

    def cut(self, pid: int, fault: PathFault) -> None:
        """Begin a fault; links reset what is open only after `FaultyLink.reset_cut`."""
        self._fault_by_pid = self._fault_by_pid | {pid: fault}
        self.version += 1

    def heal(self, pid: int) -> None:
        """End the fault of a process."""
        self._fault_by_pid = {key: one for key, one in self._fault_by_pid.items() if key != pid}
        self.version += 1

    def fault(self, accepted: socket.socket) -> PathFault | None:
        """Return the fault of the process at the other end of an accepted connection."""
        faults = self._fault_by_pid
        if not faults:
            return None
        try:
            inode = _inode(accepted.getpeername()[1], accepted.getsockname()[1])
        except OSError:
            return None
        owners = (pid for pid in faults if inode is not None and _owns(pid, inode))
        owner = next(owners, None)
        return None if owner is None else faults[owner]


def _inode(port: int, remote_port: int) -> str | None:
    """Return the inode of the loopback connection from ``port`` to ``remote_port``."""
    ends = (f":{port:04X}", f":{remote_port:04X}")
    for line in _CONNECTIONS.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(ends[0]) and fields[2].endswith(ends[1]):
            return fields[9]
    return None


def _owns(pid: int, inode: str) -> bool:
    wanted = Path(f"socket:[{inode}]")
    try:
        return any(_target(one) == wanted for one in Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        # The process has ended.
        return False


def _target(descriptor: Path) -> Path | None:
    try:
        return descriptor.readlink()
    except OSError:
        # Closed meanwhile.
        return None
