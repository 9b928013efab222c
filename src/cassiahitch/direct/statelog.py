"""Log lines for changes of the state that a process has cached."""

from __future__ import annotations

import logging
import math
from typing import Any

STATE_LOGGER = logging.getLogger('cassiahitch.beliefs')
#: Decimal places to which floats in log lines are rounded.
LOGGED_DIGITS = 4
#: Maximum characters of a field in a log line about a change of state.
MAX_LOGGED_CHARS = 300


class StateLog:
    """Logs one line for each change of the cached state of a process."""

    def state_changed(self, message: str, **fields: Any) -> None:
        """Log a change of the state that this process has cached.

        :param message: the kind of change.
        :param fields: extra fields of the log line; floats are rounded, infinite ones become null,
            and long values are cut off, since other processes choose their length.
        """
        bounded = {name: _bounded(value) for name, value in fields.items()}
        STATE_LOGGER.info(message, extra=rounded(bounded))


def rounded(fields: dict[str, Any]) -> dict[str, Any]:
    """Round the floats among the fields of a log line.

    :param fields: the fields.
    :return: the same fields; infinite floats become None.
    """
    return {
        name: _rounded_number(value) if isinstance(value, float) else value
        for name, value in fields.items()
    }


def _bounded(value: Any) -> Any:
    if isinstance(value, float | int | None):
        return value
    text = str(value)
    return value if len(text) <= MAX_LOGGED_CHARS else f'{text[:MAX_LOGGED_CHARS]}...'


def _rounded_number(value: float) -> float | None:
    # JSON has no infinity.
    return round(value, LOGGED_DIGITS) if math.isfinite(value) else None


__all__ = (
    'StateLog',
    'rounded',
)
