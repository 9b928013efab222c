"""The command that explains a request from the logs of many processes."""

from __future__ import annotations

from pathlib import Path

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.rendering import Output, print_json, print_table
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.timeline.loglines import LogLine, parse_line, select_explaining_lines
from cassiahitch.timeline.text import timeline_table

#: Seconds before the first line of a request from which on other lines are shown.
DEFAULT_CONTEXT_S = 3.0


def explain(
    request: str,
    *logs: Path,
    around: float = DEFAULT_CONTEXT_S,
    output: Output = Output.table,
) -> int:
    """Show what processes wrote about a request, and what changed around it, in one order.

    :param request: identifier of the request.
    :param logs: files with the log lines of one process or of many; a line may begin with the
        name of its process, which is that of its file otherwise.
    :param around: seconds before the first line of the request that are looked at.
    :param output: form of the output.
    :return: the exit code.
    :raises CassiahitchError: ``usage_invalid`` if a file cannot be read or no line is found.
    """
    lines = [line for path in logs for line in read_log_lines(path)]
    found = select_explaining_lines(lines, request, around)
    if not found:
        detail = f'no line of request {request} among {len(lines)} lines of {len(logs)} files'
        raise CassiahitchError(Code.usage_invalid, detail)
    if output is Output.json:
        for shown in found:
            print_json({'process': shown.process, **shown.fields})
    else:
        print_table(timeline_table(line.to_timeline_row() for line in found))
    return ExitCode.fine


def read_log_lines(path: Path) -> list[LogLine]:
    """Read the lines of a file that are log lines.

    :param path: the file.
    :return: the lines.
    :raises CassiahitchError: ``usage_invalid`` if it cannot be read.
    """
    try:
        with path.open(encoding='utf-8', errors='replace') as stream:
            parsed = [parse_line(path.stem, text) for text in stream]
    except OSError as error:
        detail = f'cannot read {path}: {error.strerror}'
        raise CassiahitchError(Code.usage_invalid, detail) from None
    return [line for line in parsed if line is not None]


__all__ = ('explain',)
