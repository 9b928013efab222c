"""Command that runs a benchmark."""

from __future__ import annotations

from pathlib import Path

from cassiahitch.bench.report import encode_report, report_table, write_plot
from cassiahitch.bench.runner import run_bench
from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.printing import write_file
from cassiahitch.cli.rendering import print_table

DEFAULT_SEED = 1


def bench(
    name: str,
    *,
    seed: int = DEFAULT_SEED,
    sizes: tuple[int, ...] = (),
    json: Path | None = None,
    plot: Path | None = None,
) -> int:
    """Measure decisions of the system and compare the figures with their targets.

    :param name: the benchmark: control, ledger, recovery, rollout or routing.
    :param seed: the seed of all random choices.
    :param sizes: sizes to run at; the standard sizes of the benchmark if left out.
    :param json: file to write the figures to.
    :param plot: file to draw the series to; its suffix names the format.
    :return: the exit code; a missed target is shown in the table and is no failure.
    """
    report = run_bench(name, seed, tuple(sizes))
    print_table(report_table(report))
    if json is not None:
        write_file(json, encode_report(report))
    if plot is not None:
        write_plot(report, plot)
    return ExitCode.fine


__all__ = ('bench',)
