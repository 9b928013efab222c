"""Log output as JSON lines in which secrets are masked."""

from __future__ import annotations

import json
import logging
import os
import time
from collections import Counter
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, TextIO

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.settings.models import LogLevel

#: Replacement for a secret.
MASK = '**********'
#: Time for which the close of a bounded log waits for the reader of the last line, in seconds.
FLUSH_TIMEOUT_S = 0.2
#: Number of attempts to write within that time.
FLUSH_POLLS = 20
#: Lines of each kind that a bounded log writes per second.
LINES_PER_S = 150
#: Loggers of the few lines about the process itself and its shutdown.
PROCESS_LOGGERS = frozenset(('cassiahitch', 'cassiahitch.stop'))
#: Kind of the lines of these loggers; of other lines, kind 1 is warnings and errors, 0 the rest.
PROCESS_LINES = 2
#: Names of extra fields whose content is always masked.
SECRET_FIELDS = frozenset(
    (
        'authorization',
        'cookie',
        'idempotency_key',
        'key',
        'mac',
        'password',
        'secret',
        'system_key',
        'ticket',
        'token',
    )
)
FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
FIELD_NAMES = MappingProxyType({'asctime': 'time', 'levelname': 'level', 'name': 'logger'})


class SecretFormatter(JsonFormatter):
    """Formats log records as JSON lines and masks secrets in them."""

    def __init__(self, secrets: Iterable[str]) -> None:
        """Create the formatter.

        :param secrets: texts to mask in all parts of a line, including tracebacks.
        """
        super().__init__(FORMAT, rename_fields=dict(FIELD_NAMES))
        spellings = {
            spelling for secret in secrets for spelling in (secret, json.dumps(secret)[1:-1])
        }
        self.secrets = tuple(sorted(filter(None, spellings), key=len, reverse=True))

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Mask the fields whose name stands for a secret.

        :param log_data: fields of the record.
        :return: fields of the log line.
        """
        line_fields = super().process_log_record(log_data)
        return {name: MASK if name in SECRET_FIELDS else line_fields[name] for name in line_fields}

    def serialize_log_record(self, log_data: dict[str, Any]) -> str:
        """Format the fields and mask the given secrets in all of them.

        :param log_data: fields of the log line.
        :return: one line of JSON.
        """
        line = str(super().serialize_log_record(log_data))
        for secret in self.secrets:
            line = line.replace(secret, MASK)
        return line


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without ever waiting for its reader.

    A line is omitted if its budget of ``lines_per_s`` is used up, or if the descriptor has not
    accepted all of the previous line yet. The next line that is written has the number of omitted
    lines in the field ``omitted_lines``. Warnings have a budget of their own, and so have the lines
    about the process itself and its shutdown.
    """

    def __init__(self, descriptor: int, lines_per_s: int) -> None:
        """Create the handler and make the descriptor non-blocking.

        :param descriptor: file descriptor for the lines.
        :param lines_per_s: budget of each kind of lines per second.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.second = 0
        self.written: Counter[int] = Counter()
        self.omitted = 0
        self.unwritten_bytes = b''

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line if its budget allows it, else count it as omitted.

        :param record: record of the line.
        """
        kind = _line_kind(record)
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.written.clear()
        if self.written[kind] >= self.lines_per_s or not self._flush_unwritten():
            self.omitted += 1
            return
        self.written[kind] += 1
        if self.omitted:
            record.omitted_lines = self.omitted
            self.omitted = 0
        try:
            self.unwritten_bytes = f'{self.format(record)}\n'.encode()
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._flush_unwritten()

    def close(self) -> None:
        """Write the rest of the last line, but stop after ``FLUSH_TIMEOUT_S``."""
        deadline = time.monotonic() + FLUSH_TIMEOUT_S
        while not self._flush_unwritten() and time.monotonic() < deadline:
            time.sleep(FLUSH_TIMEOUT_S / FLUSH_POLLS)
        super().close()

    def _flush_unwritten(self) -> bool:
        try:
            while self.unwritten_bytes:
                self.unwritten_bytes = self.unwritten_bytes[
                    os.write(self.descriptor, self.unwritten_bytes) :
                ]
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed its end, so that the rest of the line is dropped.
            self.unwritten_bytes = b''
        return True


def _line_kind(record: logging.LogRecord) -> int:
    if record.name in PROCESS_LOGGERS:
        return PROCESS_LINES
    return int(record.levelno >= logging.WARNING)


def configure_bounded_logs(level: LogLevel, descriptor: int) -> logging.Handler:
    """Write the log lines of all loggers as JSON, with a bounded rate and without blocking.

    :param level: lowest level that is written.
    :param descriptor: file descriptor for the lines.
    :return: the handler; the caller removes it from the root logger at the end.
    """
    return _install(BoundedHandler(descriptor, LINES_PER_S), level, ())


def configure_logs(level: LogLevel, secrets: Iterable[str], stream: TextIO) -> logging.Handler:
    """Write the log lines of all loggers as JSON.

    :param level: lowest level that is written.
    :param secrets: texts to mask in all parts of a line.
    :param stream: text stream for the lines.
    :return: the handler; the caller removes it from the root logger at the end.
    """
    return _install(logging.StreamHandler(stream), level, secrets)


def _install(handler: logging.Handler, level: LogLevel, secrets: Iterable[str]) -> logging.Handler:
    handler.setFormatter(SecretFormatter(secrets))
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(level.value)
    return handler


__all__ = (
    'BoundedHandler',
    'SecretFormatter',
    'configure_bounded_logs',
    'configure_logs',
)
