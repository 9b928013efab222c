"""Log lines of an agent for the rates that it enforces."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cassiahitch.direct.statelog import StateLog


def log_rate_limit(
    log: StateLog, per_s: float, before_per_s: float, source: str, **replica: Any
) -> None:
    """Log that another rate limit of a replica applies.

    :param log: writes the line.
    :param per_s: the limit in requests per second, infinity if there is none any more.
    :param before_per_s: the limit that applied before.
    :param source: where the limit was observed.
    :param replica: fields that tell the replica.
    """
    log.state_changed(
        'rate limit in force', **replica, per_s=per_s, before_per_s=before_per_s, source=source
    )


def log_cold_rate(log: StateLog, per_s: float, left_s: float, source: str, **replica: Any) -> None:
    """Log that a replica has become cold.

    :param log: writes the line.
    :param per_s: the cold rate in requests per second.
    :param left_s: seconds for which the replica stays cold.
    :param source: where that was observed.
    :param replica: fields that tell the replica.
    """
    log.state_changed('cold rate in force', **replica, per_s=per_s, cold_s=left_s, source=source)


__all__ = (
    'log_cold_rate',
    'log_rate_limit',
)
