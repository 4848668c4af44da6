"""Counts the threads of the process by their purpose."""

import re
import threading
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from opentelemetry.metrics import CallbackOptions, Observation

NATIVE = "native"
_NUMBER = re.compile(r"[-_](Thread-)?\d+.*$")


def threads_by_owner() -> Counter[str]:
    """Return the number of threads by thread name, without the number in the name.

    Threads that native libraries start count as `NATIVE`.
    """
    owners = Counter(_NUMBER.sub("", thread.name) for thread in threading.enumerate())
    native = len([*Path("/proc/self/task").iterdir()]) - owners.total()
    if native > 0:
        owners[NATIVE] = native
    return owners


def observe_threads(_options: CallbackOptions) -> Iterable[Observation]:
    """Return the observations of a gauge, one for each owner."""
    return [Observation(count, {"owner": owner}) for owner, count in threads_by_owner().items()]
