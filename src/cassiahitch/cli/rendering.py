"""Renders the output of commands as tables or JSON."""

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

#: Width of tables that are not printed to a terminal, in columns.
WIDE_COLUMNS = 200


class Output(StrEnum):
    """Format of the output."""

    table = 'table'
    json = 'json'


def print_table(table: RenderableType) -> None:
    """Print a table at the width of the terminal.

    :param table: the table.
    """
    width = None if sys.stdout.isatty() else WIDE_COLUMNS
    Console(file=sys.stdout, width=width).print(table)


def print_json(content: object) -> None:
    """Print a value as one line of JSON.

    :param content: built-in values, models or data classes.
    """
    print_line(pydantic_core.to_json(content).decode())


def resources_table(responses: Iterable[ResourceResponse]) -> Table:
    """Return a table of resources.

    :param responses: the resources and their conditions.
    :return: the table.
    """
    table = Table('kind', 'name', 'revision', 'resource', 'conditions')
    for response in responses:
        if response.resource is None:
            kind, _, name = response.key.partition('/')
            table.add_row(
                without_escapes(kind), without_escapes(name), str(response.revision), 'deleted'
            )
            continue
        declared = response.resource.model_dump_json(
            exclude={'kind', 'name'}, exclude_defaults=True
        )
        table.add_row(
            response.resource.kind,
            response.resource.name,
            str(response.revision),
            without_escapes(declared),
            without_escapes(', '.join(_condition(condition) for condition in response.conditions)),
        )
    return table


def mapping_tables(title: str, content: Mapping[str, object]) -> list[Table]:
    """Return tables of nested values: one for the scalars, one for each list of mappings.

    :param title: the title of the table of scalars.
    :param content: mappings, lists and scalars.
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
