"""Tests of the operators' commands against a complete site on loopback."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import pytest

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.run import run
from cassiahitch.standins.scenario import CHUNK_BYTES, Scenario
from cassiahitch.standins.site import Site, SiteSize

if TYPE_CHECKING:
    from pathlib import Path

WEIGHTS = bytes(range(256)) * 1024
RESOURCES = """
kind: Service
name: draft
type: model
idempotent: true
---
kind: Model
name: menus
version: v1
origin: menus/v1
manifest: {manifest}
---
kind: Deployment
name: draft
service: draft
model: menus
replicas: 3
"""
#: Seconds after which the test fails if a state is not reached.
TIMEOUT_S = 30


class CommandRunner:
    """Runs commands against a site and reads their output."""

    def __init__(
        self,
        site: Site,
        folder: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        self.capsys = capsys
        self.token_file = folder / 'token'
        self.token_file.write_text(site.token)
        self.options = ('--token-file', str(self.token_file), '--entry', *site.urls)

    async def run(self, *command: str) -> int:
        return await asyncio.to_thread(run, [*command, *self.options])

    async def read(self, *command: str) -> Any:
        self.capsys.readouterr()
        assert await self.run(*command, '--output', 'json') == ExitCode.fine
        return json.loads(self.capsys.readouterr().out)

    async def read_until(self, kind: str, *command: str) -> Any:
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                events = await self.read(*command)
                if any(event['kind'] == kind for event in events):
                    return events

    async def wait_until_loaded(self, digest: str, replicas: int) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                nodes = (await self.read('status'))['nodes']
                if sum(node['loaded'] == digest for node in nodes) == replicas:
                    return


def test_commands_drive_a_rollout(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    asyncio.run(drive_rollout(tmp_path, capsys))


async def drive_rollout(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async with Site(SiteSize(entries=2, model_hosts=3, plain_hosts=0)) as site:
        commands = CommandRunner(site, tmp_path, capsys)
        manifest = site.publish('menus/v1', 'v1', WEIGHTS, CHUNK_BYTES)
        resources = tmp_path / 'resources.yaml'
        resources.write_text(RESOURCES.format(manifest=manifest.digest))
        assert await commands.run('apply', str(resources)) == ExitCode.fine
        assert await commands.run('apply', str(resources)) == ExitCode.fine
        assert capsys.readouterr().out.count('unchanged') == 3
        await commands.wait_until_loaded(manifest.digest, 3)

        listed = await commands.read('get', 'Deployment')
        assert [document['resource']['name'] for document in listed] == ['draft']
        watched = await commands.read('watch', 'Model', '--count', '1')
        assert watched['resource']['name'] == 'menus'

        page = tmp_path / 'rollout.html'
        command = ('timeline', '--rollout', manifest.digest, '--html', str(page))
        events = await commands.read_until('rollout_finished', *command)
        kinds = [event['kind'] for event in events]
        order = [
            'rollout_planned',
            'rollout_joined',
            'weights_verified',
            'load_finished',
            'rollout_finished',
        ]
        assert sorted(order, key=kinds.index) == order
        assert {event['process'] for event in events} >= {'model-0', 'model-1', 'model-2'}
        assert 'model-2' in page.read_text()

        metrics = await commands.read('metrics')
        assert {'entry-0', 'entry-1', 'model-0', 'model-1', 'model-2'} == set(metrics['processes'])
        assert any(counter['name'] == 'loads_finished' for counter in metrics['counters'])

        assert await commands.run('drain', 'model-1') == ExitCode.fine
        assert await commands.run('delete', 'drain', 'model-1') == ExitCode.fine
        assert await commands.run('delete', 'drain', 'model-1') == ExitCode.refused


def test_timeline_shows_a_request_over_entry_and_agent(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    asyncio.run(follow_request(tmp_path, capsys))


async def follow_request(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async with Site(SiteSize(entries=2, model_hosts=3, plain_hosts=1)) as site:
        results = await Scenario(site, lambda _: None).run()
        assert results.correct
        commands = CommandRunner(site, tmp_path, capsys)
        answers = [event for event in await commands.read('timeline') if is_answer(event)]
        request = answers[-1]['request_id']
        events = await commands.read('timeline', '--request', request)
    assert [event['kind'] for event in events] == [
        'request_received',
        'replica_chosen',
        'request_dispatched',
        'request_started',
        'request_finished',
        'request_answered',
    ]
    assert len({event['process'] for event in events}) == 2


def is_answer(event: dict[str, Any]) -> bool:
    return bool(event['kind'] == 'request_answered')
