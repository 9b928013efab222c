"""HTTP handlers for operators: resources, status, time line and metrics."""

from __future__ import annotations

import asyncio
import hashlib
import json
import re
import secrets
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from cassiahitch.codes import Code
from cassiahitch.controllers.status import revision_status
from cassiahitch.controllers.store import check_change_id
from cassiahitch.entry.caller_handlers import CallerHandler
from cassiahitch.errors import CassiahitchError, ResourceError
from cassiahitch.resources.models import KINDS
from cassiahitch.resources.parsing import parse_resource, resource_key

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from cassiahitch.controllers.store import Accepted, ConfigurationStore, Stored
    from cassiahitch.entry.agent_registry import AgentRegistry
    from cassiahitch.entry.report_handlers import Reports
    from cassiahitch.entry.synchronisation import Synchroniser
    from cassiahitch.stores.api import TableService
    from cassiahitch.wire.node import Node

NO_CHANGE_ID_BYTES = 16
WATCH_POLL_S = 0.25
#: Form of a revision in a header.
REVISION = re.compile('[0-9]{1,18}')
_KIND_NAMES = frozenset(kind.__name__ for kind in KINDS)


@dataclass(frozen=True, slots=True)
class OperatorService:
    """What the handlers use."""

    node: Node
    store: ConfigurationStore
    synchroniser: Synchroniser
    agent_registry: AgentRegistry
    token_digests: frozenset[str]
    reports: Reports
    tables: TableService


class OperatorHandler(CallerHandler):
    """Base of the handlers; refuses whoever has no operator's token."""

    operators: OperatorService

    def initialize(self, operators: OperatorService) -> None:  # type: ignore[override]
        """Keep what the handler uses.

        :param operators: the parts of the entry.
        """
        self.operators = operators

    def prepare(self) -> None:
        """Refuse a request without an operator's token."""
        digest = hashlib.sha256(self.bearer().encode()).hexdigest()
        if digest not in self.operators.token_digests:
            self.fail(CassiahitchError(Code.unauthorised, 'an operator token is required'))

    async def answer(self, work: Awaitable[Any]) -> None:
        """Answer with what some work returns.

        :param work: returns the document to answer with.
        """
        try:
            self.finish(await work)
        except CassiahitchError as error:
            self.fail(error)


class ResourceHandler(OperatorHandler):
    """Reads and changes one resource."""

    async def get(self, kind: str, name: str) -> None:
        """Return a resource.

        :param kind: its kind.
        :param name: its name.
        """
        await self.answer(self._get(f'{kind}/{name}'))

    async def put(self, kind: str, name: str) -> None:
        """Create or replace a resource.

        :param kind: its kind.
        :param name: its name.
        """
        await self.answer(self._put(f'{kind}/{name}'))

    async def delete(self, kind: str, name: str) -> None:
        """Delete a resource.

        :param kind: its kind.
        :param name: its name.
        """
        await self.answer(self._delete(f'{kind}/{name}'))

    async def _get(self, key: str) -> dict[str, Any]:
        stored = await self.operators.store.get(key)
        if stored is None:
            raise ResourceError(Code.resource_missing, f'no {key}')
        return self._document(stored)

    async def _put(self, key: str) -> dict[str, Any]:
        resource = parse_resource(self.request.body)
        if resource_key(resource) != key:
            raise ResourceError(Code.resource_invalid, f'the body is {resource_key(resource)}')
        store = self.operators.store
        if self.request.headers.get('If-None-Match') == '*':
            accepted = await store.create(resource, self._change_id())
        else:
            accepted = await store.put(resource, self._if_match(), self._change_id())
        return await self._accepted(accepted)

    async def _delete(self, key: str) -> dict[str, Any]:
        accepted = await self.operators.store.delete(key, self._if_match(), self._change_id())
        return await self._accepted(accepted)

    async def _accepted(self, accepted: Accepted) -> dict[str, Any]:
        await self.operators.synchroniser.synchronise()
        return {'key': accepted.key, 'revision': accepted.revision}

    def _change_id(self) -> str:
        drawn = secrets.token_hex(NO_CHANGE_ID_BYTES)
        change_id = str(self.request.headers.get('X-Change-Id', drawn))
        check_change_id(change_id)
        self.set_header('X-Change-Id', change_id)
        return change_id

    def _if_match(self) -> int:
        header = self.request.headers.get('If-Match', '').strip('"')
        if not REVISION.fullmatch(header):
            detail = 'If-Match with a revision, or If-None-Match: *'
            raise ResourceError(Code.precondition_missing, detail)
        return int(header)

    def _document(self, stored: Stored) -> dict[str, Any]:
        return resource_document(self.operators, stored)


class ListHandler(OperatorHandler):
    """Lists the resources of a kind."""

    async def get(self, kind: str) -> None:
        """Return the resources.

        :param kind: their kind.
        """
        await self.answer(self._list(kind))

    async def _list(self, kind: str) -> dict[str, Any]:
        _check_kind(kind)
        after = self.get_query_argument('after', '')
        stored = await self.operators.store.list(kind, after)
        return {'resources': [resource_document(self.operators, found) for found in stored]}


class WatchHandler(OperatorHandler):
    """Streams the changes of a kind, one JSON document a line."""

    async def get(self, kind: str) -> None:
        """Stream changes until the caller leaves.

        :param kind: the kind.
        """
        try:
            _check_kind(kind)
            await self._stream(kind, int(self.get_query_argument('after', '0')))
        except CassiahitchError as error:
            self.fail(error)
        except ValueError:
            self.fail(ResourceError(Code.bad_request, 'after is not a revision'))

    async def _stream(self, kind: str, after: int) -> None:
        while not self.request.connection.stream.closed():  # type: ignore[union-attr]
            delta = await self.operators.store.changes(after)
            for change in delta.changes:
                if change.key.startswith(f'{kind}/'):
                    self._send(change.key, change.revision, change.document)
                after = change.revision
            await self.flush()
            await asyncio.sleep(WATCH_POLL_S)

    def _send(self, key: str, revision: int, document: bytes | None) -> None:
        resource = None if document is None else json.loads(document)
        line = {'key': key, 'revision': revision, 'resource': resource}
        self.write(f'{json.dumps(line)}\n')


class StatusHandler(OperatorHandler):
    """Tells which nodes have which revision in force."""

    def get(self) -> None:
        """Return the revision and all nodes."""
        operators = self.operators
        members = operators.agent_registry.members
        revision = operators.synchroniser.configuration.revision
        status = revision_status(revision, members)
        nodes = [_node_document(member) for member in members]
        self.finish({**asdict(status), 'everywhere': status.everywhere, 'nodes': nodes})


def resource_document(operators: OperatorService, stored: Stored) -> dict[str, Any]:
    """Return the JSON form of a resource with its conditions.

    :param operators: the parts of the entry.
    :param stored: the resource and its revision.
    :return: revision, resource and conditions.
    """
    status = revision_status(stored.revision, operators.agent_registry.members)
    condition = {
        'type': 'in_force',
        'status': status.everywhere,
        'observed_revision': operators.synchroniser.configuration.revision,
        'detail': f'{len(status.in_force)} in force, {len(status.behind)} behind, '
        f'{len(status.silent)} silent',
    }
    return {
        'revision': stored.revision,
        'resource': stored.resource.model_dump(mode='json'),
        'conditions': [condition],
    }


def _node_document(member: Any) -> dict[str, Any]:
    beat = member.heartbeat
    return {
        'host': beat.host,
        'role': beat.info.role.value,
        'incarnation': str(beat.incarnation),
        'region': beat.info.region,
        'failure_domain': beat.info.failure_domain,
        'health': member.health.value,
        'leaving': member.leaving,
        'revision': beat.revision,
        'deployment': beat.weights.deployment,
        'loaded': beat.weights.loaded,
        'loading': beat.weights.loading,
        'running': beat.load.running,
        'queued': beat.load.queued,
    }


def _check_kind(kind: str) -> None:
    if kind not in _KIND_NAMES:
        raise ResourceError(Code.unknown_kind, f'no kind {kind}')


__all__ = (
    'ListHandler',
    'OperatorHandler',
    'OperatorService',
    'ResourceHandler',
    'StatusHandler',
    'WatchHandler',
)
