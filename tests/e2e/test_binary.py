"""Tests that the one-file program runs as one process without children."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import time
from importlib.metadata import distribution
from pathlib import Path

import pytest

import cassiahitch

pytest.importorskip('shiv')

REQUIREMENTS = (
    'defopt',
    'hdrhistogram',
    'pycurl',
    'pydantic',
    'python-json-logger',
    'pyyaml',
    'rich',
)
MORE_REQUIREMENTS = ('thrift', 'tornado')
BUILD_TIMEOUT_S = 120
RUN_TIMEOUT_S = 90
POLL_INTERVAL_S = 0.005


def copy_distribution(name: str, target: Path, done: set[str]) -> None:
    """Copy an installed distribution and everything that it requires."""
    key = re.sub('[-_.]+', '-', name).lower()
    if key in done:
        return
    done.add(key)
    installed = distribution(name)
    for file in installed.files or ():
        source = Path(str(file.locate()))
        # The file list of a distribution may name compiled caches that do not exist.
        if '..' not in file.parts and source.is_file():
            copy = target / file
            copy.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, copy)
    for requirement in installed.requires or ():
        if ';' not in requirement:
            copy_distribution(re.split(r'[^\w.-]', requirement)[0], target, done)


@pytest.fixture(scope='module')
def program(tmp_path_factory: pytest.TempPathFactory) -> Path:
    folder = tmp_path_factory.mktemp('binary')
    packages = folder / 'packages'
    done: set[str] = set()
    for name in (*REQUIREMENTS, *MORE_REQUIREMENTS):
        copy_distribution(name, packages, done)
    package = Path(cassiahitch.__file__).parent
    shutil.copytree(package, packages / 'cassiahitch', ignore=shutil.ignore_patterns('__pycache__'))
    path = folder / 'cassiahitch.pyz'
    shiv = [sys.executable, '-m', 'shiv', '--compressed', '--site-packages', str(packages)]
    subprocess.run(
        [*shiv, '-e', 'cassiahitch.run:run', '-o', str(path)],
        check=True,
        timeout=BUILD_TIMEOUT_S,
        capture_output=True,
    )
    return path


def processes_of_session(session: int) -> set[int]:
    """Return the ids of the processes of a session: a program and all its children."""
    process_ids = set()
    for stat in Path('/proc').glob('[0-9]*/stat'):
        try:
            fields = stat.read_text().rpartition(')')[2].split()
        except OSError:
            continue
        if int(fields[3]) == session:
            process_ids.add(int(stat.parent.name))
    return process_ids


def test_local_runs_as_one_process_from_memory(program: Path, tmp_path: Path) -> None:
    environment = {
        'HOME': '/nonexistent',
        'PATH': os.environ['PATH'],
        'SHIV_ROOT': str(tmp_path),
        'TMPDIR': '/dev/shm',
    }
    arguments = [sys.executable, str(program), 'local', '--entries', '2', '--hosts', '3']
    seen_processes: set[int] = set()
    deadline = time.monotonic() + RUN_TIMEOUT_S
    with subprocess.Popen(
        arguments,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        start_new_session=True,
    ) as process:
        while process.poll() is None and time.monotonic() < deadline:
            seen_processes |= processes_of_session(process.pid)
            time.sleep(POLL_INTERVAL_S)
        process.kill()
        printed = process.communicate()[0].decode()
    assert process.returncode == 0, printed
    assert '0 wrong, 0 doubled numbers, 0 failures' in printed
    assert seen_processes == {process.pid}
