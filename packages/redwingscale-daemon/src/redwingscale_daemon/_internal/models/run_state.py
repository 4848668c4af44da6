"""What is known of a refused or failed request."""

from enum import StrEnum


class RunState(StrEnum):
    """Whether a request was run; ``NOT_RUN`` is only said when it is certain."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUN = "run"
