"""Tests of the one-file program: it runs as one process without a child."""

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

RUNTIME = ('defopt', 'hdrhistogram', 'pycurl', 'pydantic', 'python-json-logger', 'pyyaml', 'rich')
RUNTIME_REST = ('thrift', 'tornado')
BUILD_TIMEOUT_S = 120
RUN_TIMEOUT_S = 90
POLL_S = 0.005


def copy_distribution(name: str, target: Path, done: set[str]) -> None:
    """Copy an installed distribution and all that it requires."""
    key = re.sub('[-_.]+', '-', name).lower()
    if key in done:
        return
    done.add(key)
    installed = distribution(name)
    for file in installed.files or ():
        source = Path(str(file.locate()))
        # A record may name caches of compiled files that are not there.
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
    for name in (*RUNTIME, *RUNTIME_REST):
        copy_distribution(name, packages, done)
    own = Path(cassiahitch.__file__).parent
    shutil.copytree(own, packages / 'cassiahitch', ignore=shutil.ignore_patterns('__pycache__'))
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
    """Return the processes that a program and all its children run as."""
    found = set()
    for stat in Path('/proc').glob('[0-9]*/stat'):
        try:
            fields = stat.read_text().rpartition(')')[2].split()
        except OSError:
            continue
        if int(fields[3]) == session:
            found.add(int(stat.parent.name))
    return found


def test_local_runs_as_one_process_from_memory(program: Path, tmp_path: Path) -> None:
    environment = {
        'HOME': '/nonexistent',
        'PATH': os.environ['PATH'],
        'SHIV_ROOT': str(tmp_path),
        'TMPDIR': '/dev/shm',
    }
    arguments = [sys.executable, str(program), 'local', '--entries', '2', '--hosts', '3']
    seen: set[int] = set()
    deadline = time.monotonic() + RUN_TIMEOUT_S
    with subprocess.Popen(
        arguments,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        start_new_session=True,
    ) as running:
        while running.poll() is None and time.monotonic() < deadline:
            seen |= processes_of_session(running.pid)
            time.sleep(POLL_S)
        running.kill()
        printed = running.communicate()[0].decode()
    assert running.returncode == 0, printed
    assert '0 wrong, 0 doubled numbers, 0 failures' in printed
    assert seen == {running.pid}
