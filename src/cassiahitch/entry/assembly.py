"""Puts the parts of an entry together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from tornado.web import Application

from cassiahitch.controllers.store import ConfigurationStore
from cassiahitch.entry import audit, callers, operators, reports
from cassiahitch.entry.leadership import Leadership
from cassiahitch.entry.retention import Retention
from cassiahitch.entry.rollouts import Rollouts
from cassiahitch.entry.synchronisation import Synchroniser
from cassiahitch.ledger.tickets import TicketOffice
from cassiahitch.limits.retries import RetryBudget
from cassiahitch.requests.chain import build_chain
from cassiahitch.requests.dispatch import DispatchFilter
from cassiahitch.requests.identification import IdentificationFilter
from cassiahitch.requests.limiting import LimitFilter
from cassiahitch.requests.queueing import QueueFilter
from cassiahitch.requests.recording import RecordingFilter
from cassiahitch.requests.validation import ValidationFilter
from cassiahitch.stores.http import HttpHostList, HttpObjectStore, HttpTableService

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cassiahitch.entry.directory import Directory
    from cassiahitch.entry.gossip import Gossip
    from cassiahitch.requests.attempts import Reconnector
    from cassiahitch.routing.addresses import EntryRegistry
    from cassiahitch.settings.models import EntrySettings
    from cassiahitch.stores.caller import HttpClient
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.node import Node

#: Seconds for which a ticket holds.
TICKET_LIFETIME_S = 600


@dataclass(frozen=True, slots=True)
class EntryCore:
    """What an entry process creates itself."""

    node: Node
    settings: EntrySettings
    directory: Directory
    addresses: EntryRegistry
    reconnector: Reconnector
    peers: Callable[[], Iterable[Connection]]
    is_closing: Callable[[], bool]
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class EntryParts:
    """The parts that an entry process drives."""

    hosts: HttpHostList
    synchroniser: Synchroniser
    leadership: Leadership
    rollouts: Rollouts
    retention: Retention
    caller_service: callers.CallerService
    queueing: QueueFilter
    application: Application


def assemble(core: EntryCore, caller: HttpClient) -> EntryParts:
    """Create the parts of an entry.

    :param core: what the process created itself.
    :param caller: makes HTTP calls.
    :return: the parts; nothing runs yet.
    """
    platform = core.settings.platform
    tables = HttpTableService(caller, platform.table_service_url, core.settings.timeouts.platform_s)
    objects = HttpObjectStore(caller, platform.object_store_url)
    store = ConfigurationStore(tables)
    configuration = core.directory.configuration
    synchroniser = Synchroniser(
        core.node,
        configuration,
        store,
        objects,
        core.peers,
        core.directory.highest_heard,
    )
    rollouts = Rollouts(core.node, configuration, core.directory, tables)
    queueing = QueueFilter(
        configuration,
        core.node.clock,
        core.directory.router,
        lambda: len(tuple(core.peers())) + 1,
    )
    caller_service = _caller_service(core, queueing)
    operator_service = operators.OperatorService(
        core.node,
        store,
        synchroniser,
        core.directory,
        frozenset(core.settings.operator_token_digests),
        reports.Reports(core.node, core.directory, core.peers),
        tables,
    )
    return EntryParts(
        HttpHostList(caller, platform.host_list_url),
        synchroniser,
        Leadership(core.node, tables, rollouts.begin_term),
        rollouts,
        Retention(core.node, tables),
        caller_service,
        queueing,
        _application(caller_service, operator_service),
    )


def _caller_service(core: EntryCore, queueing: QueueFilter) -> callers.CallerService:
    configuration = core.directory.configuration
    key = core.settings.system_key.get_secret_value()
    tickets = TicketOffice((key,), core.node.incarnation, TICKET_LIFETIME_S)
    identification = IdentificationFilter(configuration)
    sizes = core.settings.sizes
    router = core.directory.router
    filters = (
        RecordingFilter(core.node),
        identification,
        ValidationFilter(configuration, core.node.clock, sizes.max_body_bytes),
        LimitFilter(configuration, core.node.clock, core.gossip.registry),
        queueing,
        DispatchFilter(
            core.node,
            core.directory,
            router,
            core.reconnector,
            tickets,
            RetryBudget(),
            core.directory.gate,
        ),
    )
    return callers.CallerService(
        core.node,
        build_chain(filters),
        identification,
        core.addresses,
        tickets,
        router,
        core.is_closing,
    )


def _application(
    caller_service: callers.CallerService,
    operator_service: operators.OperatorService,
) -> Application:
    service = {'service': caller_service}
    operator = {'operators': operator_service}
    return Application(
        [
            ('/v1/addresses', callers.AddressHandler, service),
            ('/v1/tickets', callers.TicketHandler, service),
            (r'/v1/services/([^/]+)/requests', callers.RequestsHandler, service),
            (r'/v1/resources/(\w+)/([^/]+)', operators.ResourceHandler, operator),
            (r'/v1/resources/(\w+)', operators.ListHandler, operator),
            (r'/v1/watch/(\w+)', operators.WatchHandler, operator),
            ('/v1/status', operators.StatusHandler, operator),
            ('/v1/unknown-keys', audit.UnknownKeysHandler, operator),
            ('/v1/timeline', reports.TimelineHandler, operator),
            ('/v1/metrics', reports.MetricsHandler, operator),
        ],
        default_handler_class=callers.MissingHandler,
        default_handler_args=service,
        log_function=_count_only,
    )


def _count_only(_handler: object) -> None:
    """Write no log line for a request; the metrics count it."""


__all__ = (
    'EntryCore',
    'EntryParts',
    'assemble',
)
