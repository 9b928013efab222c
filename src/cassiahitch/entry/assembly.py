"""Puts the parts of an entry together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from tornado.web import Application

from cassiahitch.controllers.store import ConfigurationStore
from cassiahitch.entry import caller_handlers, operator_handlers, report_handlers, unknown_keys
from cassiahitch.entry.leadership import Leadership
from cassiahitch.entry.retention import RetentionDriver
from cassiahitch.entry.rollouts import RolloutDriver
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

    from cassiahitch.entry.agent_registry import AgentRegistry
    from cassiahitch.entry.gossip import Gossip
    from cassiahitch.requests.attempts import Reconnector
    from cassiahitch.routing.addresses import EntryRegistry
    from cassiahitch.settings.models import EntrySettings
    from cassiahitch.stores.http_client import HttpClient
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.node import Node

#: Seconds for which a ticket holds.
TICKET_LIFETIME_S = 600


@dataclass(frozen=True, slots=True)
class EntryContext:
    """What an entry process creates itself."""

    node: Node
    settings: EntrySettings
    agent_registry: AgentRegistry
    addresses: EntryRegistry
    reconnector: Reconnector
    peers: Callable[[], Iterable[Connection]]
    is_closing: Callable[[], bool]
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class EntryComponents:
    """The parts that an entry process drives."""

    hosts: HttpHostList
    synchroniser: Synchroniser
    leadership: Leadership
    rollouts: RolloutDriver
    retention: RetentionDriver
    caller_service: caller_handlers.CallerService
    queueing: QueueFilter
    application: Application


def assemble(core: EntryContext, caller: HttpClient) -> EntryComponents:
    """Create the parts of an entry.

    :param core: what the process created itself.
    :param caller: makes HTTP calls.
    :return: the parts; nothing runs yet.
    """
    platform = core.settings.platform
    tables = HttpTableService(caller, platform.table_service_url, core.settings.timeouts.platform_s)
    objects = HttpObjectStore(caller, platform.object_store_url)
    store = ConfigurationStore(tables)
    configuration = core.agent_registry.configuration
    synchroniser = Synchroniser(
        core.node,
        configuration,
        store,
        objects,
        core.peers,
        core.agent_registry.highest_reported_revision,
    )
    rollouts = RolloutDriver(core.node, configuration, core.agent_registry, tables)
    queueing = QueueFilter(
        configuration,
        core.node.clock,
        core.agent_registry.router,
        lambda: len(tuple(core.peers())) + 1,
    )
    caller_service = _caller_service(core, queueing)
    operator_service = operator_handlers.OperatorService(
        core.node,
        store,
        synchroniser,
        core.agent_registry,
        frozenset(core.settings.operator_token_digests),
        report_handlers.Reports(core.node, core.agent_registry, core.peers),
        tables,
    )
    return EntryComponents(
        HttpHostList(caller, platform.host_list_url),
        synchroniser,
        Leadership(core.node, tables, rollouts.begin_term),
        rollouts,
        RetentionDriver(core.node, tables),
        caller_service,
        queueing,
        _application(caller_service, operator_service),
    )


def _caller_service(core: EntryContext, queueing: QueueFilter) -> caller_handlers.CallerService:
    configuration = core.agent_registry.configuration
    key = core.settings.system_key.get_secret_value()
    tickets = TicketOffice((key,), core.node.incarnation, TICKET_LIFETIME_S)
    identification = IdentificationFilter(configuration)
    sizes = core.settings.sizes
    router = core.agent_registry.router
    filters = (
        RecordingFilter(core.node),
        identification,
        ValidationFilter(configuration, core.node.clock, sizes.max_body_bytes),
        LimitFilter(configuration, core.node.clock, core.gossip.registry),
        queueing,
        DispatchFilter(
            core.node,
            core.agent_registry,
            router,
            core.reconnector,
            tickets,
            RetryBudget(),
            core.agent_registry.gate,
        ),
    )
    return caller_handlers.CallerService(
        core.node,
        build_chain(filters),
        identification,
        core.addresses,
        tickets,
        router,
        core.is_closing,
    )


def _application(
    caller_service: caller_handlers.CallerService,
    operator_service: operator_handlers.OperatorService,
) -> Application:
    service = {'service': caller_service}
    operator = {'operators': operator_service}
    return Application(
        [
            ('/v1/addresses', caller_handlers.AddressHandler, service),
            ('/v1/tickets', caller_handlers.TicketHandler, service),
            (r'/v1/services/([^/]+)/requests', caller_handlers.RequestsHandler, service),
            (r'/v1/resources/(\w+)/([^/]+)', operator_handlers.ResourceHandler, operator),
            (r'/v1/resources/(\w+)', operator_handlers.ListHandler, operator),
            (r'/v1/watch/(\w+)', operator_handlers.WatchHandler, operator),
            ('/v1/status', operator_handlers.StatusHandler, operator),
            ('/v1/unknown-keys', unknown_keys.UnknownKeysHandler, operator),
            ('/v1/timeline', report_handlers.TimelineHandler, operator),
            ('/v1/metrics', report_handlers.MetricsHandler, operator),
        ],
        default_handler_class=caller_handlers.MissingHandler,
        default_handler_args=service,
        log_function=_count_only,
    )


def _count_only(_handler: object) -> None:
    """Write no log line for a request; the metrics count it."""


__all__ = (
    'EntryContext',
    'EntryComponents',
    'assemble',
)
