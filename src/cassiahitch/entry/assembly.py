"""Creates and connects the components of an entry process."""

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
from cassiahitch.ledger.tickets import TicketIssuer
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

#: Seconds for which a ticket is valid.
TICKET_LIFETIME_S = 600


@dataclass(frozen=True, slots=True)
class EntryContext:
    """Objects of the entry process that its components depend on."""

    node: Node
    settings: EntrySettings
    agent_registry: AgentRegistry
    entry_registry: EntryRegistry
    reconnector: Reconnector
    entry_connections: Callable[[], Iterable[Connection]]
    refuses_requests: Callable[[], bool]
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class EntryComponents:
    """Components of an entry process, which starts and stops them."""

    host_list: HttpHostList
    synchroniser: Synchroniser
    leadership: Leadership
    rollout_driver: RolloutDriver
    retention_driver: RetentionDriver
    caller_service: caller_handlers.CallerService
    queueing: QueueFilter
    application: Application


def create_components(context: EntryContext, client: HttpClient) -> EntryComponents:
    """Create the components of an entry.

    :param context: objects of the entry process.
    :param client: client for the services of the platform.
    :return: the components, not started.
    """
    platform = context.settings.platform
    tables = HttpTableService(
        client, platform.table_service_url, context.settings.timeouts.platform_s
    )
    objects = HttpObjectStore(client, platform.object_store_url)
    store = ConfigurationStore(tables)
    configuration = context.agent_registry.configuration
    synchroniser = Synchroniser(
        context.node,
        configuration,
        store,
        objects,
        context.entry_connections,
        context.agent_registry.highest_reported_revision,
    )
    rollout_driver = RolloutDriver(context.node, configuration, context.agent_registry, tables)
    queueing = QueueFilter(
        configuration,
        context.node.clock,
        context.agent_registry.router,
        lambda: len(tuple(context.entry_connections())) + 1,
    )
    caller_service = _caller_service(context, queueing)
    operator_service = operator_handlers.OperatorService(
        context.node,
        store,
        synchroniser,
        context.agent_registry,
        frozenset(context.settings.operator_token_digests),
        report_handlers.ReportCollector(
            context.node, context.agent_registry, context.entry_connections
        ),
        tables,
    )
    return EntryComponents(
        HttpHostList(client, platform.host_list_url),
        synchroniser,
        Leadership(context.node, tables, rollout_driver.begin_term),
        rollout_driver,
        RetentionDriver(context.node, tables),
        caller_service,
        queueing,
        _application(caller_service, operator_service),
    )


def _caller_service(context: EntryContext, queueing: QueueFilter) -> caller_handlers.CallerService:
    configuration = context.agent_registry.configuration
    key = context.settings.system_key.get_secret_value()
    tickets = TicketIssuer((key,), context.node.incarnation, TICKET_LIFETIME_S)
    identification = IdentificationFilter(configuration)
    sizes = context.settings.sizes
    router = context.agent_registry.router
    filters = (
        RecordingFilter(context.node),
        identification,
        ValidationFilter(configuration, context.node.clock, sizes.max_body_bytes),
        LimitFilter(configuration, context.node.clock, context.gossip.registry),
        queueing,
        DispatchFilter(
            context.node,
            context.agent_registry,
            router,
            context.reconnector,
            tickets,
            RetryBudget(),
            context.agent_registry.gate,
        ),
    )
    return caller_handlers.CallerService(
        context.node,
        build_chain(filters),
        identification,
        context.entry_registry,
        tickets,
        router,
        context.refuses_requests,
    )


def _application(
    caller_service: caller_handlers.CallerService,
    operator_service: operator_handlers.OperatorService,
) -> Application:
    service = {'service': caller_service}
    operators = {'operators': operator_service}
    return Application(
        [
            ('/v1/addresses', caller_handlers.AddressHandler, service),
            ('/v1/tickets', caller_handlers.TicketHandler, service),
            (r'/v1/services/([^/]+)/requests', caller_handlers.RequestsHandler, service),
            (r'/v1/resources/(\w+)/([^/]+)', operator_handlers.ResourceHandler, operators),
            (r'/v1/resources/(\w+)', operator_handlers.ListHandler, operators),
            (r'/v1/watch/(\w+)', operator_handlers.WatchHandler, operators),
            ('/v1/status', operator_handlers.StatusHandler, operators),
            ('/v1/unknown-keys', unknown_keys.UnknownKeysHandler, operators),
            ('/v1/timeline', report_handlers.TimelineHandler, operators),
            ('/v1/metrics', report_handlers.MetricsHandler, operators),
        ],
        default_handler_class=caller_handlers.NotFoundHandler,
        default_handler_args=service,
        log_function=_skip_access_log,
    )


def _skip_access_log(_handler: object) -> None:
    """Write no access log line; requests are counted by the metrics."""


__all__ = (
    'EntryContext',
    'EntryComponents',
    'create_components',
)
