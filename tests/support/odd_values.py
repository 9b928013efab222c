"""Documents in which one value is not what its reader expects."""

from __future__ import annotations

import copy
import random
from collections.abc import Iterator
from typing import Any

Steps = tuple[str | int, ...]
#: Values that JSON can carry and that no reader of a document asks for.
ODD: tuple[Any, ...] = (
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


def paths(document: Any, start: Steps = ()) -> Iterator[Steps]:
    """Yield the ways to all values of a document, and to itself."""
    yield start
    if isinstance(document, dict):
        for name, inner in document.items():
            yield from paths(inner, (*start, name))
    if isinstance(document, list):
        for number, inner in enumerate(document):
            yield from paths(inner, (*start, number))


def changed(document: Any, way: Steps, value: Any) -> Any:
    """Return a document with another value at one place."""
    if not way:
        return value
    found = copy.deepcopy(document)
    inner = found
    for step in way[:-1]:
        inner = inner[step]
    inner[way[-1]] = value
    return found


def mutated_documents(document: Any, rng: random.Random, count: int) -> Iterator[Any]:
    """Yield documents with one odd value each."""
    ways = tuple(paths(document))
    for _ in range(count):
        yield changed(document, rng.choice(ways), rng.choice(ODD))
