"""Exit codes of the program."""

from __future__ import annotations

from enum import IntEnum

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError, SettingsError


class ExitCode(IntEnum):
    """How a command ended."""

    fine = 0
    refused = 1
    usage = 2
    unreachable = 3
    conflict = 4
    broken = 5


class UnreachableError(CassiahitchError):
    """No entry answered."""


USAGE_CODES = frozenset(
    (
        Code.settings_invalid,
        Code.settings_missing,
        Code.usage_invalid,
        Code.bench_unknown,
    )
)
CONFLICT_CODES = frozenset((Code.revision_conflict, Code.resource_exists))


def exit_code(error: CassiahitchError) -> ExitCode:
    """Return the exit code for an error that ended a command.

    :param error: the error.
    :return: the exit code.
    """
    if isinstance(error, UnreachableError):
        return ExitCode.unreachable
    if isinstance(error, SettingsError) or error.code in USAGE_CODES:
        return ExitCode.usage
    if error.code in CONFLICT_CODES:
        return ExitCode.conflict
    return ExitCode.refused


__all__ = (
    'ExitCode',
    'UnreachableError',
    'exit_code',
)
