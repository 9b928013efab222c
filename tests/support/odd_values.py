"""Mutations of JSON documents: one value is replaced by an unexpected one."""

from __future__ import annotations

import copy
import random
from collections.abc import Iterator
from typing import Any

JsonPath = tuple[str | int, ...]
#: Values that JSON can represent and that no reader of a document expects.
UNEXPECTED_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    10**30,
    -(10**30),
    1e308,
    -1e308,
    float('inf'),
    float('nan'),
    '',
    '\ud800',
    'x' * 70_000,
    '10.0.0.1:99999',
    '999.1.1.1:1',
    [],
    {},
    [None],
    [[]],
    {'name': None},
)


def paths(document: Any, start: JsonPath = ()) -> Iterator[JsonPath]:
    """Yield the paths to a document and to all values in it."""
    yield start
    if isinstance(document, dict):
        for name, inner in document.items():
            yield from paths(inner, (*start, name))
    if isinstance(document, list):
        for number, inner in enumerate(document):
            yield from paths(inner, (*start, number))


def replace_value(document: Any, path: JsonPath, value: Any) -> Any:
    """Return a copy of a document with another value at one path."""
    if not path:
        return value
    copied = copy.deepcopy(document)
    inner = copied
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    return copied


def mutated_documents(document: Any, rng: random.Random, count: int) -> Iterator[Any]:
    """Yield copies of a document, each with one unexpected value at a random path."""
    all_paths = tuple(paths(document))
    for _ in range(count):
        yield replace_value(document, rng.choice(all_paths), rng.choice(UNEXPECTED_VALUES))
