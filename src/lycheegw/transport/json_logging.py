"""Formats records of absl.logging as JSON lines, with structured fields."""

from collections.abc import Callable
import json
import logging as std_logging
from typing import Any

from absl import logging

__all__ = ["event", "install"]

WriteEvent = Callable[..., None]


class _JsonFormatter(std_logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns a record and its fields as a JSON line."""
        value: dict[str, Any] = {
            "at_s": round(record.created, 3),
            "level": record.levelname,
            "message": record.getMessage(),
        }
        if record.exc_info:
            value["exception"] = self.formatException(record.exc_info)
        return json.dumps(value | getattr(record, "fields", {}))


class _NoteHandler(std_logging.Handler):
    """Forwards records to a rate-limited event log."""

    def __init__(self, note: WriteEvent):
        super().__init__()
        self._note = note

    def emit(self, record: std_logging.LogRecord) -> None:
        """Writes a record as the event `log`."""
        fields = dict(getattr(record, "fields", {}))
        if record.exc_info:
            formatter = std_logging.Formatter()
            fields["exception"] = formatter.formatException(record.exc_info)
        self._note(
            "log",
            level=record.levelname,
            message=record.getMessage(),
            **fields,
        )


def install(note: WriteEvent | None = None) -> None:
    """Makes absl log JSON lines to standard error, or to `note` if given."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    if note is None:
        logging.get_absl_handler().setFormatter(_JsonFormatter())
        return
    root = std_logging.getLogger()
    root.handlers = [_NoteHandler(note)]
    root.setLevel(std_logging.WARNING)


def event(name: str, **fields: Any) -> None:
    """Logs an event with its fields, such as the request id."""
    logging.get_absl_logger().info(name, extra={"fields": fields})
