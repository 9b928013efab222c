"""Log lines in JSON, without secrets."""

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

MASK = '**********'
#: Seconds that the reader of a bounded log gets for the last lines, and looks in them.
FLUSH_TIMEOUT_S = 0.2
FLUSH_POLLS = 20
#: Lines of each kind that a bounded log takes in a second.
LINES_PER_S = 150
#: Loggers of the few lines about the process itself and its end, which are a kind of their own.
PROCESS_LOGGERS = frozenset(('cassiahitch', 'cassiahitch.stop'))
#: Kind of their lines; 0 is information, 1 warnings.
PROCESS_KIND = 2
#: Names of extra fields whose content is never written.
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
    """Writes records as lines of JSON in which secrets are hidden."""

    def __init__(self, secrets: Iterable[str]) -> None:
        """Create the formatter.

        :param secrets: texts that must not be written anywhere, tracebacks included.
        """
        super().__init__(FORMAT, rename_fields=dict(FIELD_NAMES))
        written = {form for secret in secrets for form in (secret, json.dumps(secret)[1:-1])}
        self.secrets = tuple(sorted(filter(None, written), key=len, reverse=True))

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Hide the fields that hold a secret by their name.

        :param log_data: the fields of a record.
        :return: the fields to write.
        """
        shown = super().process_log_record(log_data)
        return {name: MASK if name in SECRET_FIELDS else shown[name] for name in shown}

    def serialize_log_record(self, log_data: dict[str, Any]) -> str:
        """Write the fields and hide the known secrets in all of them.

        :param log_data: the fields to write.
        :return: one line of JSON.
        """
        line = str(super().serialize_log_record(log_data))
        for secret in self.secrets:
            line = line.replace(secret, MASK)
        return line


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Of more than ``lines_per_s`` lines, and of lines that the descriptor does not take, only the
    number is told, in the first line that gets through again. Warnings have a budget of their own,
    and so have the lines about the process itself and its end.
    """

    def __init__(self, descriptor: int, lines_per_s: int) -> None:
        """Create the handler; the descriptor no longer blocks afterwards.

        :param descriptor: where lines go.
        :param lines_per_s: lines of each kind that are written in a second.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.second = 0
        self.written: Counter[int] = Counter()
        self.omitted = 0
        self.unwritten = b''

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line if the budget allows it.

        :param record: what to write.
        """
        kind = _kind(record)
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.written.clear()
        if self.written[kind] >= self.lines_per_s or not self._drained():
            self.omitted += 1
            return
        self.written[kind] += 1
        if self.omitted:
            record.omitted_lines = self.omitted
            self.omitted = 0
        try:
            self.unwritten = f'{self.format(record)}\n'.encode()
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._drained()

    def close(self) -> None:
        """Write what the descriptor has not taken yet, for which it gets a moment."""
        until = time.monotonic() + FLUSH_TIMEOUT_S
        while not self._drained() and time.monotonic() < until:
            time.sleep(FLUSH_TIMEOUT_S / FLUSH_POLLS)
        super().close()

    def _drained(self) -> bool:
        try:
            while self.unwritten:
                self.unwritten = self.unwritten[os.write(self.descriptor, self.unwritten) :]
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the lines any more.
            self.unwritten = b''
        return True


def _kind(record: logging.LogRecord) -> int:
    if record.name in PROCESS_LOGGERS:
        return PROCESS_KIND
    return int(record.levelno >= logging.WARNING)


def configure_bounded_logs(level: LogLevel, descriptor: int) -> logging.Handler:
    """Write the log lines of all loggers as JSON, bounded and without waiting.

    :param level: the lowest level that is written.
    :param descriptor: where lines go.
    :return: the handler, to be removed from the root logger at the end.
    """
    return _install(BoundedHandler(descriptor, LINES_PER_S), level, ())


def configure_logs(level: LogLevel, secrets: Iterable[str], stream: TextIO) -> logging.Handler:
    """Write the log lines of all loggers as JSON.

    :param level: the lowest level that is written.
    :param secrets: texts that must not be written anywhere.
    :param stream: where lines go.
    :return: the handler, to be removed from the root logger at the end.
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
