"""Tests of the operators' commands against a small API in the test's own event loop."""

from __future__ import annotations

import asyncio
import json
import socket
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.clock import ManualClock
from cassiahitch.codes import Code
from cassiahitch.metrics.encoding import encode_snapshot
from cassiahitch.metrics.names import CounterName
from cassiahitch.metrics.registry import Metrics
from cassiahitch.run import run
from cassiahitch.timeline.encoding import encode_events
from cassiahitch.timeline.events import EventKind
from cassiahitch.timeline.ring import Timeline

if TYPE_CHECKING:
    from pathlib import Path

    from syrupy.assertion import SnapshotAssertion

#: Entries on loopback answer or refuse at once, however late this process sees it.
PATIENCE_S = 300
TOKEN = 'operator-token-of-the-test'
MODEL = f"""
kind: Model
name: draft
version: v1
origin: models/draft
manifest: {'a' * 64}
"""


@dataclass
class Store:
    """The resources behind all entries of a test."""

    revision: int = 0
    resources: dict[str, Any] = field(default_factory=dict)
    changes: dict[str, int] = field(default_factory=dict)
    lose_answers: int = 0
    race_with: str = ''

    def commit(self, key: str, change_id: str, resource: dict[str, Any] | None) -> None:
        self.revision += 1
        self.changes[change_id] = self.revision
        if resource is None:
            self.resources.pop(key)
        else:
            self.resources[key] = (self.revision, resource)

    def refusal(self, key: str, headers: Any) -> Code:
        current = self.resources.get(key)
        if headers['X-Change-Id'] in self.changes:
            return Code.ok
        if current is None:
            return Code.ok if headers.get('If-None-Match') == '*' else Code.resource_missing
        if 'If-Match' not in headers:
            return Code.resource_exists
        matches = headers['If-Match'] == f'"{current[0]}"'
        return Code.ok if matches else Code.revision_conflict


class ApiHandler(RequestHandler):
    """Base of the handlers of an entry."""

    def initialize(self, store: Store, leaving: bool, name: str) -> None:
        self.store = store
        self.leaving = leaving
        self.name = name

    def prepare(self) -> None:
        if self.leaving:
            self.refuse(503, Code.leaving)
        elif self.request.headers.get('Authorization') != f'Bearer {TOKEN}':
            self.refuse(401, Code.unauthorised)

    def refuse(self, http_status: int, code: Code) -> None:
        self.set_status(http_status)
        self.finish({'code': code.value, 'name': code.name, 'detail': 'refused', 'ran': 'no'})


class ResourceHandler(ApiHandler):
    """One resource."""

    def get(self, kind: str, name: str) -> None:
        if f'{kind}/{name}' in self.store.resources:
            self.answer(f'{kind}/{name}')
        else:
            self.refuse(404, Code.resource_missing)

    def put(self, kind: str, name: str) -> None:
        self.change(f'{kind}/{name}', json.loads(self.request.body))

    def delete(self, kind: str, name: str) -> None:
        self.change(f'{kind}/{name}', None)

    def change(self, key: str, resource: dict[str, Any] | None) -> None:
        if self.store.race_with == key:
            self.store.commit(key, 'racing', {**(resource or {}), 'version': 'v9'})
        code = self.store.refusal(key, self.request.headers)
        change_id = self.request.headers['X-Change-Id']
        if code is not Code.ok:
            self.refuse(412, code)
            return
        if change_id not in self.store.changes:
            self.store.commit(key, change_id, resource)
        if self.store.lose_answers:
            self.store.lose_answers -= 1
            self.detach().close()
        elif resource:
            self.answer(key)
        else:
            self.finish({'revision': self.store.revision})

    def answer(self, key: str) -> None:
        revision, resource = self.store.resources[key]
        condition = {'type': 'InForce', 'status': True, 'observed_revision': revision}
        self.finish({'revision': revision, 'resource': resource, 'conditions': [condition]})


class WatchHandler(ApiHandler):
    """A watch that ends after two lines."""

    def get(self, kind: str) -> None:
        after = int(self.get_query_argument('after'))
        for revision in (after + 1, after + 2):
            self.write('{}\n'.format(json.dumps({'revision': revision, 'key': f'{kind}/a'})))


class ObservingHandler(ApiHandler):
    """Status, time line and metrics."""

    def get(self, what: str) -> None:
        match what:
            case 'status':
                self.finish({'revision': 3, 'nodes': [{'host': 'h1', 'alive': True}]})
            case 'timeline':
                timeline = Timeline(self.name, ManualClock(1), capacity=8)
                timeline.record(EventKind.request_received, request_id='r1')
                timeline.record(EventKind.request_received, request_id='r2')
                self.finish(encode_events(timeline.events()))
            case _:
                own = Metrics(self.name)
                own.count(CounterName.requests_received, by=2)
                self.finish(encode_snapshot(own.snapshot()))


ROUTES = (
    (r'/v1/resources/(\w+)/([\w.-]+)', ResourceHandler),
    (r'/v1/watch/(\w+)', WatchHandler),
    (r'/v1/(status|timeline|metrics)', ObservingHandler),
)


class System:
    """Entries on loopback that share one store; each is ``live``, ``leaving`` or ``dead``."""

    def __init__(self, tmp_path: Path, *entries: str) -> None:
        self.entries = entries
        self.store = Store()
        self.token_file = tmp_path / 'token'
        self.token_file.write_text(f'{TOKEN}\n')

    def run(self, *commands: tuple[str, ...]) -> list[int]:
        return asyncio.run(self.run_all(commands))

    async def run_all(self, commands: tuple[tuple[str, ...], ...]) -> list[int]:
        with ExitStack() as stack:
            urls = [self.start(stack, name, state) for name, state in enumerate(self.entries)]
            options = ('--token-file', str(self.token_file), '--entry', *urls)
            return [await asyncio.to_thread(run, [*command, *options]) for command in commands]

    def start(self, stack: ExitStack, number: int, state: str) -> str:
        own = socket.create_server(('127.0.0.1', 0))
        url = f'http://127.0.0.1:{own.getsockname()[1]}'
        if state == 'dead':
            own.close()
            return url
        own.setblocking(False)  # noqa: WPS425 (the only argument of the call)
        options = {'store': self.store, 'leaving': state == 'leaving', 'name': f'entry-{number}'}
        server = HTTPServer(Application([(path, handler, options) for path, handler in ROUTES]))
        server.add_socket(own)
        stack.callback(server.stop)
        return url


@pytest.fixture(autouse=True)
def _patience(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no call end because this process stood still for some seconds."""
    monkeypatch.setattr('cassiahitch.cli.client.CONNECT_TIMEOUT_S', PATIENCE_S)
    monkeypatch.setattr('cassiahitch.cli.client.REQUEST_TIMEOUT_S', PATIENCE_S)


@pytest.fixture
def manifest(tmp_path: Path) -> Path:
    path = tmp_path / 'model.yaml'
    path.write_text(MODEL)
    return path


def test_apply_creates_then_leaves_then_changes(
    tmp_path: Path,
    manifest: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    system = System(tmp_path, 'live')
    assert system.run(('apply', str(manifest)), ('apply', str(manifest))) == [0, 0]
    manifest.write_text(MODEL.replace('v1', 'v2'))
    assert system.run(('apply', str(manifest)), ('get', 'model', 'draft')) == [0, 0]
    printed = capsys.readouterr().out
    assert printed.splitlines()[:3] == [
        'Model draft created at revision 1',
        'Model draft unchanged at revision 1',
        'Model draft changed at revision 2',
    ]
    assert 'InForce: yes' in printed


@pytest.mark.parametrize(
    'entries', [('dead', 'live'), ('leaving', 'live'), ('dead', 'leaving', 'live')]
)
def test_command_goes_to_an_entry_that_serves(
    tmp_path: Path,
    manifest: Path,
    entries: tuple[str, ...],
) -> None:
    assert System(tmp_path, *entries).run(('apply', str(manifest))) == [ExitCode.fine]


def test_lost_answer_is_settled_by_the_change_id(tmp_path: Path, manifest: Path) -> None:
    system = System(tmp_path, 'live', 'live')
    system.store.lose_answers = 1
    assert system.run(('apply', str(manifest))) == [ExitCode.fine]
    assert system.store.revision == 1


def test_lost_race_is_a_conflict(
    tmp_path: Path,
    manifest: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    system = System(tmp_path, 'live')
    system.store.race_with = 'Model/draft'
    assert system.run(('apply', str(manifest))) == [ExitCode.conflict]
    system.store.resources['Model/draft'][1]['version'] = 'v1'
    assert system.run(('delete', 'Model', 'draft')) == [ExitCode.conflict]
    assert capsys.readouterr().err.count('\n') == 2


def test_refusal_and_no_answer_have_their_exit_codes(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert System(tmp_path, 'dead').run(('status',)) == [ExitCode.unreachable]
    assert System(tmp_path, 'leaving').run(('status',)) == [ExitCode.refused]
    system = System(tmp_path, 'live')
    system.token_file.write_text('wrong-token')
    assert system.run(('status',), ('watch', 'Drain')) == [ExitCode.refused, ExitCode.refused]
    printed = capsys.readouterr().err
    assert 'cassiahitch: 1001 unauthorised: refused\n' in printed
    assert 'wrong-token' not in printed


def test_drain_creates_and_delete_removes_it(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    system = System(tmp_path, 'live')
    commands = (('drain', 'host-7'), ('delete', 'drain', 'host-7'), ('get', 'drain', 'host-7'))
    assert system.run(*commands) == [0, 0, ExitCode.refused]
    assert '2001 resource_missing' in capsys.readouterr().err


def test_watch_goes_on_after_its_connection_ended(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('cassiahitch.cli.client.RECONNECT_DELAY_S', 0)
    arguments = ('watch', 'Drain', '--count', '3', '--after', '5', '--output', 'json')
    assert System(tmp_path, 'dead', 'leaving', 'live').run(arguments) == [ExitCode.fine]
    revisions = [json.loads(line)['revision'] for line in capsys.readouterr().out.splitlines()]
    assert revisions == [6, 7, 8]


def test_timeline_merges_entries_and_writes_picture(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    page = tmp_path / 'request.html'
    command = ('timeline', '--request', 'r1', '--html', str(page), '--output', 'json')
    assert System(tmp_path, 'live', 'dead', 'live').run(command) == [ExitCode.fine]
    events = json.loads(capsys.readouterr().out)
    assert [event['process'] for event in events] == ['entry-0', 'entry-2']
    assert {event['request_id'] for event in events} == {'r1'}
    assert 'entry-2' in page.read_text()


def test_status_and_metrics_are_tables(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    assert System(tmp_path, 'live', 'live').run(('status',), ('metrics',)) == [0, 0]
    assert capsys.readouterr().out == snapshot
