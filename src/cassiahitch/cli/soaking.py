"""The ``soak`` command, which runs the soak test."""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.printing import print_line, write_file
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.soak.events import Area
from cassiahitch.soak.plan import Size
from cassiahitch.soak.report import SoakReport
from cassiahitch.soak.run import SoakRun

#: Bounds of a run: seconds of load, and number of processes.
MAX_SECONDS = 600.0
MAX_PROCESSES = 60
#: Bounds of a version of the weights.
MAX_CHUNKS = 1000
MAX_CHUNK_BYTES = 1_000_000
DEFAULT = Size()


def soak(
    *,
    seed: int,
    seconds: float = DEFAULT.seconds,
    entries: int = DEFAULT.entries,
    agents: int = DEFAULT.agents,
    areas: tuple[str, ...] = (),
    chunks: int = DEFAULT.chunks,
    chunk_bytes: int = DEFAULT.chunk_bytes,
    json: Path | None = None,
) -> int:
    """Run the real processes on loopback under seeded faults and check the guarantees.

    :param seed: the seed of the faults and of the callers.
    :param seconds: duration of the load in seconds.
    :param entries: number of entries.
    :param agents: number of agents, each with a model engine.
    :param areas: areas of faults: stops, signals, links, backends, store, changes, overload,
        limits, prompts, silences, endings, weights, broken_ends; all if omitted.
    :param chunks: number of chunks of each version of the weights.
    :param chunk_bytes: bytes of each chunk.
    :param json: file to write the report to; standard output if omitted.
    :return: the exit code; 5 if a guarantee was violated.
    """
    size = replace(_size(seconds, entries, agents, areas), chunks=chunks, chunk_bytes=chunk_bytes)
    if not 1 <= chunks <= MAX_CHUNKS or not 1 <= chunk_bytes <= MAX_CHUNK_BYTES:
        raise _usage_error(
            f'a version has 1 to {MAX_CHUNKS} chunks of 1 to {MAX_CHUNK_BYTES} bytes each'
        )
    with ExitStack() as stack:
        folder = Path(tempfile.mkdtemp(prefix=f'cassiahitch-soak-{seed}-'))
        stack.callback(shutil.rmtree, folder, ignore_errors=True)
        report = asyncio.run(_run_until_ended(seed, size, folder))
        if report.logs:
            stack.pop_all()
    if json is None:
        print_line(report.encode().decode())
    else:
        write_file(json, report.encode())
    return ExitCode.broken if report.violations else ExitCode.fine


async def _run_until_ended(seed: int, size: Size, folder: Path) -> SoakReport:
    # SIGTERM cancels the run, which then also ends the processes that it started.
    run = asyncio.create_task(_run(seed, size, folder))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, run.cancel)
    try:
        return await run
    except asyncio.CancelledError:
        raise CassiahitchError(Code.soak_ended, 'the soak received SIGTERM') from None


async def _run(seed: int, size: Size, folder: Path) -> SoakReport:
    soak_run = SoakRun(seed, size, folder)
    violations = await soak_run.run()
    is_kept = violations or any(load.faults for load in soak_run.record.loads)
    logs = str(folder) if is_kept else ''
    return SoakReport(seed, size, soak_run.plan, soak_run.record, tuple(violations), logs)


def _size(seconds: float, entries: int, agents: int, areas: tuple[str, ...]) -> Size:
    unknown = set(areas) - set(Area)
    if unknown:
        raise _usage_error(f'unknown area of faults {sorted(unknown)[0]!r}')
    if not 1 <= seconds <= MAX_SECONDS:
        raise _usage_error(f'seconds must be between 1 and {MAX_SECONDS:.0f}')
    if entries < 1 or agents < 1 or entries + agents > MAX_PROCESSES:
        raise _usage_error(
            f'a run needs at least one entry and one agent, and at most {MAX_PROCESSES} processes'
        )
    selected = tuple(area for area in Area if not areas or area in areas)
    return Size(seconds, entries, agents, areas=selected)


def _usage_error(detail: str) -> CassiahitchError:
    return CassiahitchError(Code.usage_invalid, detail)


__all__ = ('soak',)
