"""Structured logs: loguru writes one line of key=value pairs for each event."""

import sys
from typing import Any

from loguru import logger

from redwingscale_common.utils.line_writer import stdout_flush, stdout_writer

_FORMAT = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} event={message}"
    "{extra[context]}{extra[fields]}"
)


def configure_logs(level: str, **context: str) -> None:
    """Write events of ``level`` and above to standard error, each with ``context``."""
    logger.remove()
    logger.configure(extra={"context": _pairs(context), "fields": ""})
    logger.add(sys.stderr, format=_FORMAT, level=level.upper(), backtrace=False, diagnose=False)


def log_to_stdout(level: str, **context: str) -> None:
    """Like `configure_logs`, but write to standard output and never block."""
    logger.remove()
    logger.configure(extra={"context": _pairs(context), "fields": ""})
    writer = stdout_writer()
    routine = logger.level("INFO").no

    def sink(message: Any) -> None:
        writer.put(str(message), routine=message.record["level"].no <= routine)

    logger.add(sink, format=_FORMAT, level=level.upper(), backtrace=False, diagnose=False)


def flush_logs(seconds: float = 1.0) -> None:
    """Wait until all events logged to standard output are written, at most ``seconds``."""
    stdout_flush()(seconds)


def log_event(event: str, *, level: str = "INFO", **fields: object) -> None:
    """Write one line: the ``event`` name, then ``fields`` in the order given."""
    logger.bind(fields=_pairs(fields)).log(level, event)


def _pairs(fields: dict[str, Any]) -> str:
    return "".join(f" {key}={_quote(value)}" for key, value in fields.items())


def _quote(value: object) -> str:
    text = str(value)
    if text and not any(c.isspace() or c in '"=' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
