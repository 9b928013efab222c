"""Renders the report of a benchmark as a table, as JSON and as a plot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import TypeAdapter
from rich.table import Table

from cassiahitch.bench.api import BenchReport, Bound, Figure
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError

if TYPE_CHECKING:
    from pathlib import Path

REPORT: TypeAdapter[BenchReport] = TypeAdapter(BenchReport)
PLOT_DPI = 120


def verdict(figure: Figure) -> str:
    """Return the verdict on a figure.

    :param figure: the figure.
    :return: ``met``, ``MISSED``, or an empty string if the figure has no target.
    """
    if figure.bound is Bound.reported:
        return ''
    return 'met' if figure.met else 'MISSED'


def report_table(report: BenchReport) -> Table:
    """Return a table of the figures with their targets.

    :param report: the report.
    :return: the table.
    """
    sizes = ' '.join(str(size) for size in report.sizes)
    table = Table(title=f'{report.name}, seed {report.seed}, sizes {sizes}')
    table.add_column('figure')
    table.add_column('value', justify='right')
    table.add_column('unit')
    table.add_column('target', justify='right')
    table.add_column('verdict')
    for figure in report.figures:
        table.add_row(
            figure.name,
            f'{figure.value:.6g}',
            figure.unit,
            _target(figure),
            verdict(figure),
        )
    return table


def encode_report(report: BenchReport) -> bytes:
    """Encode a report as JSON.

    :param report: the report.
    :return: JSON in UTF-8.
    """
    return REPORT.dump_json(report, indent=2)


def write_plot(report: BenchReport, path: Path) -> None:
    """Plot the series of a report to a file.

    :param report: the report.
    :param path: path of the file; its suffix selects the format, such as ``.svg`` or ``.png``.
    :raises CassiahitchError: ``bench_failed`` if matplotlib is not installed, ``usage_invalid``
        if the file cannot be written.
    """
    try:
        from matplotlib.figure import Figure as Canvas  # noqa: WPS433 (optional dependency)
    except ModuleNotFoundError:
        detail = 'a plot needs matplotlib: install cassiahitch[plot]'
        raise CassiahitchError(Code.bench_failed, detail) from None
    canvas = Canvas(layout='constrained')
    axes = canvas.subplots()
    for series in report.series:
        axes.plot(*zip(*series.points, strict=True), marker='o', label=series.name)
    axes.set_title(report.name)
    axes.set_xlabel(report.axes[0])
    axes.set_ylabel(report.axes[1])
    if report.series:
        axes.legend()
    try:
        canvas.savefig(path, dpi=PLOT_DPI)
    except (OSError, ValueError) as error:
        raise CassiahitchError(Code.usage_invalid, f'cannot write {path}: {error}') from None


def _target(figure: Figure) -> str:
    if figure.bound is Bound.reported:
        return ''
    return f'{figure.bound} {figure.target:.6g}'


__all__ = (
    'encode_report',
    'report_table',
    'verdict',
    'write_plot',
)
