"""Tests of the operators' commands against a fake API in the event loop of the test."""

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

#: Timeout of calls. Entries on loopback respond or refuse at once, but on a busy machine this
#: process may see it late.
CALL_TIMEOUT_S = 300
TOKEN = 'operator-token-of-the-test'
MODEL = f"""
kind: Model
name: draft
version: v1
origin: models/draft
manifest: {'a' * 64}
"""


@dataclass
class FakeStore:
    """The resources that all entries of a test share."""

    revision: int = 0
    resources: dict[str, Any] = field(default_factory=dict)
    changes: dict[str, int] = field(default_factory=dict)
    responses_to_drop: int = 0
    conflicting_key: str = ''

    def commit(self, key: str, change_id: str, resource: dict[str, Any] | None) -> None:
        self.revision += 1
        self.changes[change_id] = self.revision
        if resource is None:
            self.resources.pop(key)
        else:
            self.resources[key] = (self.revision, resource)

    def check_preconditions(self, key: str, headers: Any) -> Code:
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

    def initialize(self, store: FakeStore, stopping: bool, name: str) -> None:
        self.store = store
        self.stopping = stopping
        self.name = name

    def prepare(self) -> None:
        if self.stopping:
            self.refuse(503, Code.leaving)
        elif self.request.headers.get('Authorization') != f'Bearer {TOKEN}':
            self.refuse(401, Code.unauthorised)

    def refuse(self, http_status: int, code: Code) -> None:
        self.set_status(http_status)
        self.finish({'code': code.value, 'name': code.name, 'detail': 'refused', 'ran': 'no'})


class ResourceHandler(ApiHandler):
    """Handles reads and changes of one resource."""

    def get(self, kind: str, name: str) -> None:
        if f'{kind}/{name}' in self.store.resources:
            self.send_resource(f'{kind}/{name}')
        else:
            self.refuse(404, Code.resource_missing)

    def put(self, kind: str, name: str) -> None:
        self.change(f'{kind}/{name}', json.loads(self.request.body))

    def delete(self, kind: str, name: str) -> None:
        self.change(f'{kind}/{name}', None)

    def change(self, key: str, resource: dict[str, Any] | None) -> None:
        if self.store.conflicting_key == key:
            self.store.commit(key, 'racing', {**(resource or {}), 'version': 'v9'})
        code = self.store.check_preconditions(key, self.request.headers)
        change_id = self.request.headers['X-Change-Id']
        if code is not Code.ok:
            self.refuse(412, code)
            return
        if change_id not in self.store.changes:
            self.store.commit(key, change_id, resource)
        if self.store.responses_to_drop:
            self.store.responses_to_drop -= 1
            self.detach().close()
        elif resource:
            self.send_resource(key)
        else:
            self.finish({'revision': self.store.revision})

    def send_resource(self, key: str) -> None:
        revision, resource = self.store.resources[key]
        condition = {'type': 'InForce', 'status': True, 'observed_revision': revision}
        self.finish({'revision': revision, 'resource': resource, 'conditions': [condition]})


class WatchHandler(ApiHandler):
    """Handles a watch, whose response ends after two lines."""

    def get(self, kind: str) -> None:
        after = int(self.get_query_argument('after'))
        for revision in (after + 1, after + 2):
            self.write('{}\n'.format(json.dumps({'revision': revision, 'key': f'{kind}/a'})))


class ObservingHandler(ApiHandler):
    """Handles queries of the status, the time line and the metrics."""

    def get(self, endpoint: str) -> None:
        match endpoint:
            case 'status':
                self.finish({'revision': 3, 'nodes': [{'host': 'h1', 'alive': True}]})
            case 'timeline':
                timeline = Timeline(self.name, ManualClock(1), capacity=8)
                timeline.record(EventKind.request_received, request_id='r1')
                timeline.record(EventKind.request_received, request_id='r2')
                self.finish(encode_events(timeline.events()))
            case _:
                metrics = Metrics(self.name)
                metrics.count(CounterName.requests_received, by=2)
                self.finish(encode_snapshot(metrics.snapshot()))


ROUTES = (
    (r'/v1/resources/(\w+)/([\w.-]+)', ResourceHandler),
    (r'/v1/watch/(\w+)', WatchHandler),
    (r'/v1/(status|timeline|metrics)', ObservingHandler),
)


class FakeSystem:
    """Entries on loopback that share one store; each is ``live``, ``stopping`` or ``dead``."""

    def __init__(self, tmp_path: Path, *entries: str) -> None:
        self.entries = entries
        self.store = FakeStore()
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
        listener = socket.create_server(('127.0.0.1', 0))
        url = f'http://127.0.0.1:{listener.getsockname()[1]}'
        if state == 'dead':
            listener.close()
            return url
        listener.setblocking(False)  # noqa: WPS425 (the only argument of the call)
        options = {'store': self.store, 'stopping': state == 'stopping', 'name': f'entry-{number}'}
        server = HTTPServer(Application([(path, handler, options) for path, handler in ROUTES]))
        server.add_socket(listener)
        stack.callback(server.stop)
        return url


@pytest.fixture(autouse=True)
def _long_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevent calls from timing out while this process is stalled for some seconds."""
    monkeypatch.setattr('cassiahitch.cli.client.CONNECT_TIMEOUT_S', CALL_TIMEOUT_S)
    monkeypatch.setattr('cassiahitch.cli.client.REQUEST_TIMEOUT_S', CALL_TIMEOUT_S)


@pytest.fixture
def manifest(tmp_path: Path) -> Path:
    path = tmp_path / 'model.yaml'
    path.write_text(MODEL)
    return path


def test_apply_creates_then_keeps_then_changes_a_resource(
    tmp_path: Path,
    manifest: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    system = FakeSystem(tmp_path, 'live')
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
    'entries', [('dead', 'live'), ('stopping', 'live'), ('dead', 'stopping', 'live')]
)
def test_command_is_sent_to_a_serving_entry(
    tmp_path: Path,
    manifest: Path,
    entries: tuple[str, ...],
) -> None:
    assert FakeSystem(tmp_path, *entries).run(('apply', str(manifest))) == [ExitCode.fine]


def test_retry_after_a_lost_response_is_deduplicated_by_the_change_id(
    tmp_path: Path, manifest: Path
) -> None:
    system = FakeSystem(tmp_path, 'live', 'live')
    system.store.responses_to_drop = 1
    assert system.run(('apply', str(manifest))) == [ExitCode.fine]
    assert system.store.revision == 1


def test_concurrent_change_is_a_conflict(
    tmp_path: Path,
    manifest: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    system = FakeSystem(tmp_path, 'live')
    system.store.conflicting_key = 'Model/draft'
    assert system.run(('apply', str(manifest))) == [ExitCode.conflict]
    system.store.resources['Model/draft'][1]['version'] = 'v1'
    assert system.run(('delete', 'Model', 'draft')) == [ExitCode.conflict]
    assert capsys.readouterr().err.count('\n') == 2


def test_refusal_and_missing_response_have_their_own_exit_codes(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert FakeSystem(tmp_path, 'dead').run(('status',)) == [ExitCode.unreachable]
    assert FakeSystem(tmp_path, 'stopping').run(('status',)) == [ExitCode.refused]
    system = FakeSystem(tmp_path, 'live')
    system.token_file.write_text('wrong-token')
    assert system.run(('status',), ('watch', 'Drain')) == [ExitCode.refused, ExitCode.refused]
    printed = capsys.readouterr().err
    assert 'cassiahitch: 1001 unauthorised: refused\n' in printed
    assert 'wrong-token' not in printed


def test_drain_creates_a_resource_that_delete_removes(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    system = FakeSystem(tmp_path, 'live')
    commands = (('drain', 'host-7'), ('delete', 'drain', 'host-7'), ('get', 'drain', 'host-7'))
    assert system.run(*commands) == [0, 0, ExitCode.refused]
    assert '2001 resource_missing' in capsys.readouterr().err


def test_watch_reconnects_after_its_connection_ended(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('cassiahitch.cli.client.RECONNECT_DELAY_S', 0)
    arguments = ('watch', 'Drain', '--count', '3', '--after', '5', '--output', 'json')
    assert FakeSystem(tmp_path, 'dead', 'stopping', 'live').run(arguments) == [ExitCode.fine]
    revisions = [json.loads(line)['revision'] for line in capsys.readouterr().out.splitlines()]
    assert revisions == [6, 7, 8]


def test_timeline_merges_entries_and_writes_a_diagram(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    page = tmp_path / 'request.html'
    command = ('timeline', '--request', 'r1', '--html', str(page), '--output', 'json')
    assert FakeSystem(tmp_path, 'live', 'dead', 'live').run(command) == [ExitCode.fine]
    events = json.loads(capsys.readouterr().out)
    assert [event['process'] for event in events] == ['entry-0', 'entry-2']
    assert {event['request_id'] for event in events} == {'r1'}
    assert 'entry-2' in page.read_text()


def test_status_and_metrics_are_tables(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    assert FakeSystem(tmp_path, 'live', 'live').run(('status',), ('metrics',)) == [0, 0]
    assert capsys.readouterr().out == snapshot
