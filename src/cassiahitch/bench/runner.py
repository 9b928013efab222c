"""Finds and runs benchmarks by name."""

from __future__ import annotations

from importlib import import_module
from types import MappingProxyType
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cassiahitch.bench.api import Bench, BenchReport

#: Module of each benchmark, which is imported only when the benchmark runs.
BENCHES = MappingProxyType(
    {
        'control': 'cassiahitch.bench.control',
        'direct': 'cassiahitch.bench.direct',
        'ledger': 'cassiahitch.bench.ledger',
        'recovery': 'cassiahitch.bench.recovery',
        'rollout': 'cassiahitch.bench.rollout',
        'routing': 'cassiahitch.bench.routing',
    }
)


def find_bench(name: str, benches: Mapping[str, str] = BENCHES) -> Bench:
    """Return a benchmark.

    :param name: name of the benchmark.
    :param benches: the module of each benchmark.
    :return: the function that runs the benchmark.
    :raises CassiahitchError: ``bench_unknown`` if no benchmark has this name.
    """
    if name not in benches:
        valid_names = ', '.join(sorted(benches))
        raise CassiahitchError(Code.bench_unknown, f'{name} is not one of {valid_names}')
    try:
        module = import_module(benches[name])
    except ModuleNotFoundError as error:
        raise CassiahitchError(Code.bench_unknown, f'{name} is not there yet: {error}') from None
    bench: Bench = module.run
    return bench


def run_bench(name: str, seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Run a benchmark.

    :param name: name of the benchmark.
    :param seed: seed of all its random numbers.
    :param sizes: sizes to run at; empty for the standard sizes of the benchmark.
    :return: the report.
    :raises CassiahitchError: ``bench_unknown`` if no benchmark has this name.
    """
    return find_bench(name)(seed, sizes)


__all__ = (
    'BENCHES',
    'find_bench',
    'run_bench',
)
