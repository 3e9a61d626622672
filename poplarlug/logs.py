"""Structured logging: short messages, prefixed with the name of their component."""

import json
import logging
import sys
import threading
from types import TracebackType
from typing import Any, Literal, TextIO, TypeAlias, cast

import msgspec
import structlog
from aiohttp.http_exceptions import HttpProcessingError

from poplarlug.log_writer import BoundedLineWriter

LogFormat: TypeAlias = Literal["json", "console"]
LogLevel: TypeAlias = Literal["debug", "info", "warning", "error"]


def configure_logs(*, log_format: LogFormat, level: LogLevel) -> None:
    """Write log lines of at least ``level`` to standard output in ``log_format``."""
    renderer: Any = structlog.processors.JSONRenderer(serializer=_encode)
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(
            cast(TextIO, BoundedLineWriter(descriptor=sys.stdout.fileno()))
        ),
        cache_logger_on_first_use=True,
    )

    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)
    logging.captureWarnings(True)
    sys.excepthook = _log_uncaught
    sys.unraisablehook = _log_unraisable
    threading.excepthook = _log_thread_ended


class ComponentLogger:
    """Logger that starts each message with the prefix of its component."""

    def __init__(self, *, prefix: str) -> None:
        self._prefix = prefix
        self._logger = structlog.get_logger()

    def debug(self, message: str, **fields: Any) -> None:
        self._logger.debug(f"{self._prefix}: {message}", **fields)

    def info(self, message: str, **fields: Any) -> None:
        self._logger.info(f"{self._prefix}: {message}", **fields)

    def warning(self, message: str, **fields: Any) -> None:
        self._logger.warning(f"{self._prefix}: {message}", **fields)

    def error(self, message: str, **fields: Any) -> None:
        self._logger.error(f"{self._prefix}: {message}", **fields)


class _LibraryHandler(logging.Handler):
    """Write what libraries log as log lines of this process."""

    def emit(self, record: logging.LogRecord) -> None:
        try:
            logger = structlog.get_logger()
            message = f"{record.name}: {record.getMessage()}"
            error = record.exc_info[1] if record.exc_info else None
            if isinstance(error, HttpProcessingError):
                # A peer's fault, as often as it likes; no fault of this process.
                logger.info(message, reason=repr(error))
            else:
                logger.log(record.levelno, message, exc_info=record.exc_info)
        except Exception:
            self.handleError(record)


def _log_uncaught(
    kind: type[BaseException], error: BaseException, trace: TracebackType | None
) -> None:
    """Log the error that ends this process."""
    logger = structlog.get_logger()
    logger.error("process: ended by an error", exc_info=(kind, error, trace))


def _log_unraisable(unraisable: "sys.UnraisableHookArgs") -> None:
    """Log an error that had nowhere to go, as in a finalizer."""
    logger = structlog.get_logger()
    what = f"{unraisable.err_msg or 'ignored error in'} {unraisable.object!r}"
    logger.error(f"process: {what}", exc_info=unraisable.exc_value)


def _log_thread_ended(args: threading.ExceptHookArgs) -> None:
    """Log the error that ends a thread."""
    logger = structlog.get_logger()
    logger.error("process: a thread ended by an error", exc_info=args.exc_value)


def _encode(fields: Any, **_: Any) -> str:
    try:
        return msgspec.json.encode(fields, enc_hook=repr).decode()
    except UnicodeEncodeError:
        # Non-ASCII bytes in a caller's header or path are decoded as surrogates.
        return json.dumps(fields, default=repr)
