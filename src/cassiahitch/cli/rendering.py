"""Output of commands as tables or JSON."""

from __future__ import annotations

import sys
from enum import StrEnum
from typing import TYPE_CHECKING

import pydantic_core
from rich.console import Console
from rich.table import Table

from cassiahitch.cli.printing import print_line
from cassiahitch.timeline.text import without_escapes

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rich.console import RenderableType
    from rich.text import Text

    from cassiahitch.cli.responses import ConditionResponse, ResourceResponse

#: Width of tables that do not go to a terminal.
WIDE_COLUMNS = 200


class Output(StrEnum):
    """Form of the output."""

    table = 'table'
    json = 'json'


def print_table(table: RenderableType) -> None:
    """Print a table as wide as the terminal.

    :param table: the table.
    """
    width = None if sys.stdout.isatty() else WIDE_COLUMNS
    Console(file=sys.stdout, width=width).print(table)


def print_json(content: object) -> None:
    """Print a value as one line of JSON.

    :param content: plain values, models or data classes.
    """
    print_line(pydantic_core.to_json(content).decode())


def resources_table(answers: Iterable[ResourceResponse]) -> Table:
    """Lay out resources as a table.

    :param answers: the resources.
    :return: the table.
    """
    table = Table('kind', 'name', 'revision', 'resource', 'conditions')
    for answer in answers:
        if answer.resource is None:
            kind, _, name = answer.key.partition('/')
            table.add_row(
                without_escapes(kind), without_escapes(name), str(answer.revision), 'deleted'
            )
            continue
        declared = answer.resource.model_dump_json(exclude={'kind', 'name'}, exclude_defaults=True)
        table.add_row(
            answer.resource.kind,
            answer.resource.name,
            str(answer.revision),
            without_escapes(declared),
            without_escapes(', '.join(_condition(condition) for condition in answer.conditions)),
        )
    return table


def mapping_tables(title: str, content: Mapping[str, object]) -> list[Table]:
    """Lay out nested plain values as tables: one of the scalars, one for each list.

    :param title: the title of the first table.
    :param content: plain values.
    :return: the tables.
    """
    scalars = Table('name', 'value', title=title)
    tables = [scalars]
    for name, inner in content.items():
        match inner:
            case [dict(), *_]:
                tables.append(_rows_table(name, inner))
            case dict():
                tables.extend(mapping_tables(name, inner))
            case _:
                scalars.add_row(without_escapes(name), _cell(inner))
    return [table for table in tables if table.row_count]


def _rows_table(title: str, rows: Iterable[object]) -> Table:
    mappings = [row for row in rows if isinstance(row, dict)]
    columns = list(dict.fromkeys(str(name) for row in mappings for name in row))
    table = Table(*columns, title=title)
    for row in mappings:
        table.add_row(*(_cell(row.get(column, '')) for column in columns))
    return table


def _cell(content: object) -> Text:
    if isinstance(content, str):
        return without_escapes(content)
    return without_escapes(pydantic_core.to_json(content).decode())


def _condition(condition: ConditionResponse) -> str:
    state = 'yes' if condition.status else 'no'
    return f'{condition.type}: {condition.detail or state}'


__all__ = (
    'Output',
    'mapping_tables',
    'without_escapes',
    'print_json',
    'print_table',
    'resources_table',
)
