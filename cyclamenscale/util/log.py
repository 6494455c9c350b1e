"""Log configuration: text or JSON lines on standard error."""

import sys
from datetime import UTC
from traceback import format_exception
from typing import Any, TextIO

from loguru import logger
from msgspec import json

from cyclamenscale.settings import Settings

TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {extra[entry]} "
    "{name}: {message}"
)


def json_line(record: dict[str, Any]) -> str:
    """Format a log record as one line of JSON."""
    error = record["exception"]
    fields = {
        "time": record["time"].astimezone(UTC).isoformat(),
        "level": record["level"].name,
        "entry": record["extra"].get("entry", ""),
        "module": record["name"],
        "message": record["message"],
    }
    if error:
        fields["error"] = f"{error.type.__name__}: {error.value}"
        fields["traceback"] = "".join(format_exception(error.value))
    return json.encode(fields).decode()


def set_up(settings: Settings, stream: TextIO | None = None) -> None:
    """Configure the log of this process as set in section ``[log]``.

    :param settings: settings of the entry.
    :param stream: output stream, by default standard error.
    """
    logger.remove()
    logger.configure(extra={"entry": settings.entry.name})
    out = stream or sys.stderr
    level = settings.log.level
    # Without diagnose=False, tracebacks would include the values of variables,
    # among them the bodies of callers' requests.
    if settings.log.json:
        logger.add(
            lambda message: out.write(json_line(message.record) + "\n"),
            level=level,
            format="{message}",
            diagnose=False,
        )
    else:
        logger.add(
            out,
            level=level,
            format=TEXT_FORMAT,
            colorize=False,
            diagnose=False,
        )
