"""HTTP handlers for operators: resources, changes of resources, and status."""

from __future__ import annotations

import asyncio
import hashlib
import json
import re
import secrets
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from cassiahitch.codes import Code
from cassiahitch.controllers.proposals import check_change_id
from cassiahitch.controllers.status import revision_status
from cassiahitch.entry.caller_handlers import CallerHandler
from cassiahitch.errors import CassiahitchError, ResourceError
from cassiahitch.resources.models import KINDS
from cassiahitch.resources.parsing import parse_resource, resource_key

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from cassiahitch.controllers.proposals import AcceptedChange, StoredResource
    from cassiahitch.controllers.store import ConfigurationStore
    from cassiahitch.entry.agent_registry import AgentRegistry
    from cassiahitch.entry.report_handlers import ReportCollector
    from cassiahitch.entry.synchronisation import Synchroniser
    from cassiahitch.stores.api import TableService
    from cassiahitch.wire.node import Node

#: Size of the change id that is drawn for a request without one, in bytes.
GENERATED_CHANGE_ID_BYTES = 16
#: Seconds between two reads of new changes for a watch.
WATCH_POLL_INTERVAL_S = 0.25
#: Format of a revision in a header.
REVISION_PATTERN = re.compile('[0-9]{1,18}')
_KIND_NAMES = frozenset(kind.__name__ for kind in KINDS)


@dataclass(frozen=True, slots=True)
class OperatorService:
    """Components that the handlers use."""

    node: Node
    store: ConfigurationStore
    synchroniser: Synchroniser
    agent_registry: AgentRegistry
    token_digests: frozenset[str]
    reports: ReportCollector
    tables: TableService


class OperatorHandler(CallerHandler):
    """Base class of the handlers; refuses requests without the token of an operator."""

    operators: OperatorService

    def initialize(self, operators: OperatorService) -> None:  # type: ignore[override]
        """Initialise the handler.

        :param operators: components that the handler uses.
        """
        self.operators = operators

    def prepare(self) -> None:
        """Refuse a request without the token of an operator."""
        digest = hashlib.sha256(self.bearer_token().encode()).hexdigest()
        if digest not in self.operators.token_digests:
            self.fail(CassiahitchError(Code.unauthorised, 'an operator token is required'))

    async def respond(self, document: Awaitable[Any]) -> None:
        """Send a document as the response, or the error that producing it raises.

        :param document: produces the document.
        """
        try:
            self.finish(await document)
        except CassiahitchError as error:
            self.fail(error)


class ResourceHandler(OperatorHandler):
    """Returns, creates, replaces or deletes one resource."""

    async def get(self, kind: str, name: str) -> None:
        """Return a resource.

        :param kind: kind of the resource.
        :param name: name of the resource.
        """
        await self.respond(self._get(f'{kind}/{name}'))

    async def put(self, kind: str, name: str) -> None:
        """Create or replace a resource.

        :param kind: kind of the resource.
        :param name: name of the resource.
        """
        await self.respond(self._put(f'{kind}/{name}'))

    async def delete(self, kind: str, name: str) -> None:
        """Delete a resource.

        :param kind: kind of the resource.
        :param name: name of the resource.
        """
        await self.respond(self._delete(f'{kind}/{name}'))

    async def _get(self, key: str) -> dict[str, Any]:
        stored = await self.operators.store.get(key)
        if stored is None:
            raise ResourceError(Code.resource_missing, f'there is no resource {key}')
        return self._document(stored)

    async def _put(self, key: str) -> dict[str, Any]:
        resource = parse_resource(self.request.body)
        if resource_key(resource) != key:
            raise ResourceError(
                Code.resource_invalid, f'the body contains resource {resource_key(resource)}'
            )
        store = self.operators.store
        if self.request.headers.get('If-None-Match') == '*':
            accepted = await store.create(resource, self._change_id())
        else:
            accepted = await store.put(resource, self._if_match(), self._change_id())
        return await self._accepted_document(accepted)

    async def _delete(self, key: str) -> dict[str, Any]:
        accepted = await self.operators.store.delete(key, self._if_match(), self._change_id())
        return await self._accepted_document(accepted)

    async def _accepted_document(self, accepted: AcceptedChange) -> dict[str, Any]:
        await self.operators.synchroniser.synchronise()
        return {'key': accepted.key, 'revision': accepted.revision}

    def _change_id(self) -> str:
        generated = secrets.token_hex(GENERATED_CHANGE_ID_BYTES)
        change_id = str(self.request.headers.get('X-Change-Id', generated))
        check_change_id(change_id)
        self.set_header('X-Change-Id', change_id)
        return change_id

    def _if_match(self) -> int:
        header = self.request.headers.get('If-Match', '').strip('"')
        if not REVISION_PATTERN.fullmatch(header):
            detail = 'If-Match with a revision, or If-None-Match: * is required'
            raise ResourceError(Code.precondition_missing, detail)
        return int(header)

    def _document(self, stored: StoredResource) -> dict[str, Any]:
        return resource_document(self.operators, stored)


class ListHandler(OperatorHandler):
    """Lists the resources of a kind."""

    async def get(self, kind: str) -> None:
        """Return the resources of a kind.

        :param kind: the kind.
        """
        await self.respond(self._list(kind))

    async def _list(self, kind: str) -> dict[str, Any]:
        _check_kind(kind)
        after = self.get_query_argument('after', '')
        stored = await self.operators.store.list(kind, after)
        return {'resources': [resource_document(self.operators, item) for item in stored]}


class WatchHandler(OperatorHandler):
    """Streams the changes of the resources of a kind, one JSON document per line."""

    async def get(self, kind: str) -> None:
        """Stream changes until the operator disconnects.

        :param kind: the kind.
        """
        try:
            _check_kind(kind)
            await self._stream(kind, int(self.get_query_argument('after', '0')))
        except CassiahitchError as error:
            self.fail(error)
        except ValueError:
            self.fail(ResourceError(Code.bad_request, 'the argument after is not a revision'))

    async def _stream(self, kind: str, after: int) -> None:
        while not self.request.connection.stream.closed():  # type: ignore[union-attr]
            delta = await self.operators.store.changes(after)
            for change in delta.changes:
                if change.key.startswith(f'{kind}/'):
                    self._send(change.key, change.revision, change.document)
                after = change.revision
            await self.flush()
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)

    def _send(self, key: str, revision: int, document: bytes | None) -> None:
        resource = None if document is None else json.loads(document)
        line = {'key': key, 'revision': revision, 'resource': resource}
        self.write(f'{json.dumps(line)}\n')


class StatusHandler(OperatorHandler):
    """Returns the configuration revision that each node has in force."""

    def get(self) -> None:
        """Return the revision, a summary and all nodes."""
        operators = self.operators
        members = operators.agent_registry.members
        revision = operators.synchroniser.configuration.revision
        status = revision_status(revision, members)
        nodes = [_node_document(member) for member in members]
        self.finish({**asdict(status), 'everywhere': status.everywhere, 'nodes': nodes})


def resource_document(operators: OperatorService, stored: StoredResource) -> dict[str, Any]:
    """Return the JSON form of a resource with its conditions.

    :param operators: components that the handlers use.
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
    heartbeat = member.heartbeat
    return {
        'host': heartbeat.host,
        'role': heartbeat.info.role.value,
        'incarnation': str(heartbeat.incarnation),
        'region': heartbeat.info.region,
        'failure_domain': heartbeat.info.failure_domain,
        'health': member.health.value,
        'leaving': member.leaving,
        'revision': heartbeat.revision,
        'deployment': heartbeat.weights.deployment,
        'loaded': heartbeat.weights.loaded,
        'loading': heartbeat.weights.loading,
        'running': heartbeat.load.running,
        'queued': heartbeat.load.queued,
    }


def _check_kind(kind: str) -> None:
    if kind not in _KIND_NAMES:
        raise ResourceError(Code.unknown_kind, f'there is no resource kind {kind}')


__all__ = (
    'ListHandler',
    'OperatorHandler',
    'OperatorService',
    'ResourceHandler',
    'StatusHandler',
    'WatchHandler',
)
