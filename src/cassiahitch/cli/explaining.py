"""The ``explain`` command, which shows a request from the logs of several processes."""

from __future__ import annotations

from pathlib import Path

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.rendering import Output, print_json, print_table
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.timeline.loglines import LogLine, parse_line, select_explaining_lines
from cassiahitch.timeline.text import timeline_table

#: Seconds before the first log line of a request from which related lines are shown.
DEFAULT_CONTEXT_S = 3.0


def explain(
    request: str,
    *logs: Path,
    around: float = DEFAULT_CONTEXT_S,
    output: Output = Output.table,
) -> int:
    """Show the log lines of a request and of the state changes around it, in order of time.

    :param request: identifier of the request.
    :param logs: log files of one or several processes; a line may begin with the name of its
        process, otherwise the name of the file is used.
    :param around: seconds before the first line of the request from which related lines are
        shown.
    :param output: format of the output.
    :return: the exit code.
    :raises CassiahitchError: ``usage_invalid`` if a file cannot be read or no line is found.
    """
    lines = [line for path in logs for line in read_log_lines(path)]
    selected = select_explaining_lines(lines, request, around)
    if not selected:
        detail = f'no line of request {request} among {len(lines)} lines of {len(logs)} files'
        raise CassiahitchError(Code.usage_invalid, detail)
    if output is Output.json:
        for selected_line in selected:
            print_json({'process': selected_line.process, **selected_line.fields})
    else:
        print_table(timeline_table(line.to_timeline_row() for line in selected))
    return ExitCode.fine


def read_log_lines(path: Path) -> list[LogLine]:
    """Read the log lines of a file; other lines are skipped.

    :param path: path of the file.
    :return: the log lines.
    :raises CassiahitchError: ``usage_invalid`` if the file cannot be read.
    """
    try:
        with path.open(encoding='utf-8', errors='replace') as stream:
            parsed = [parse_line(path.stem, text) for text in stream]
    except OSError as error:
        detail = f'cannot read {path}: {error.strerror}'
        raise CassiahitchError(Code.usage_invalid, detail) from None
    return [line for line in parsed if line is not None]


__all__ = ('explain',)
