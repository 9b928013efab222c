"""Commands that show the time line and the metrics of all processes."""

from __future__ import annotations

from pathlib import Path
from urllib.parse import urlencode

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.operators import parse_target, run_with_client
from cassiahitch.cli.printing import print_line, write_file
from cassiahitch.cli.rendering import Output, print_table
from cassiahitch.metrics.encoding import encode_snapshot, metrics_table
from cassiahitch.timeline.diagram import render_html
from cassiahitch.timeline.encoding import encode_events
from cassiahitch.timeline.events import EventFilter
from cassiahitch.timeline.merging import merge
from cassiahitch.timeline.text import events_table


def timeline(
    *,
    entry: list[str],
    token_file: Path,
    output: Output = Output.table,
    request: str = '',
    rollout: str = '',
    html: Path | None = None,
) -> int:
    """Show the events of all processes in one order.

    :param entry: URLs of entries; the events of all that answer are merged.
    :param token_file: file that holds the operator's token.
    :param output: form of the output.
    :param request: only events of the request with this identifier.
    :param rollout: only events of the rollout with this identifier.
    :param html: file to write a picture to.
    :return: the exit code.
    """
    matching = EventFilter(request_id=request, rollout_id=rollout)
    query = urlencode({'request': request, 'rollout': rollout})
    target = parse_target(entry, token_file)
    sources = run_with_client(target, lambda client: client.timelines(query))
    events = [event for event in merge(sources) if matching.accepts(event)]
    if html is not None:
        title = ' '.join(filter(None, ('time line', request, rollout)))
        write_file(html, render_html(title, events).encode(errors='replace'))
    if output is Output.json:
        print_line(encode_events(events).decode())
    else:
        print_table(events_table(events))
    return ExitCode.fine


def metrics(*, entry: list[str], token_file: Path, output: Output = Output.table) -> int:
    """Show the metrics of all processes, summed.

    :param entry: URLs of entries, asked in this order until one answers.
    :param token_file: file that holds the operator's token.
    :param output: form of the output.
    :return: the exit code.
    """
    target = parse_target(entry, token_file)
    merged = run_with_client(target, lambda client: client.metrics())
    if output is Output.json:
        print_line(encode_snapshot(merged).decode())
    else:
        print_table(metrics_table(merged))
    return ExitCode.fine


__all__ = (
    'metrics',
    'timeline',
)
