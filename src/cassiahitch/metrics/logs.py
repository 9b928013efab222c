"""Log lines in JSON, without secrets."""

from __future__ import annotations

import json
import logging
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, TextIO

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.settings.models import LogLevel

HIDDEN = '**********'
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
        return {name: HIDDEN if name in SECRET_FIELDS else shown[name] for name in shown}

    def serialize_log_record(self, log_data: dict[str, Any]) -> str:
        """Write the fields and hide the known secrets in all of them.

        :param log_data: the fields to write.
        :return: one line of JSON.
        """
        line = str(super().serialize_log_record(log_data))
        for secret in self.secrets:
            line = line.replace(secret, HIDDEN)
        return line


def configure_logs(level: LogLevel, secrets: Iterable[str], stream: TextIO) -> logging.Handler:
    """Write the log lines of all loggers as JSON.

    :param level: the lowest level that is written.
    :param secrets: texts that must not be written anywhere.
    :param stream: where lines go.
    :return: the handler, to be removed from the root logger at the end.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(SecretFormatter(secrets))
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(level.value)
    return handler


__all__ = (
    'SecretFormatter',
    'configure_logs',
)
