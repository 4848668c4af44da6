"""Whether a refused or failed request was run."""

from enum import StrEnum


class RunState(StrEnum):
    """Whether a request was run; ``NOT_RUN`` is used only if that is certain."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUN = "run"
