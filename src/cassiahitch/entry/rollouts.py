"""Performs the actions of the rollout controller while this entry holds the lease."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers import rollout
from cassiahitch.controllers.assignment import ObservedNode
from cassiahitch.controllers.drain import drain_orders
from cassiahitch.controllers.load_selector import WaveLoadSelector
from cassiahitch.entry.rollout_progress import RolloutProgress
from cassiahitch.errors import CassiahitchError
from cassiahitch.members.membership import Health
from cassiahitch.resources.models import Adapter, Model
from cassiahitch.stores.api import ABSENT_VERSION, CommitConflict, Condition, Write
from cassiahitch.timeline.events import EventKind
from cassiahitch.weights.plan import Participant, build_plan, parse_plan
from cassiahitch.wire import messages

if TYPE_CHECKING:
    from cassiahitch.controllers.configuration import Configuration
    from cassiahitch.entry.agent_registry import AgentRegistry
    from cassiahitch.entry.leadership import Leadership
    from cassiahitch.members.membership import Member
    from cassiahitch.stores.api import TableService
    from cassiahitch.wire.node import Node

#: Table of the distribution plans.
PLAN_TABLE = 'plans'
#: Seconds between two comparisons of the desired and the observed state.
RECONCILE_INTERVAL_S = 0.25
#: Seconds after which an order that an agent has not acknowledged fails.
ORDER_TIMEOUT_S = 3
#: Rows that are read in one scan of the plans.
PAGE_ROWS = 500


class RolloutDriver:
    """Runs the rollout controller: stores its plans and sends its orders to the agents."""

    def __init__(
        self,
        node: Node,
        configuration: Configuration,
        agent_registry: AgentRegistry,
        tables: TableService,
    ) -> None:
        """Create the driver; it acts only while this entry holds the lease.

        :param node: this process.
        :param configuration: the desired state.
        :param agent_registry: the observed state, and the connections to the agents.
        :param tables: the table service, which stores the plans.
        """
        self.node = node
        self.configuration = configuration
        self.agent_registry = agent_registry
        self.tables = tables
        self.controller = rollout.RolloutController(0, WaveLoadSelector())
        self.plans: dict[str, bytes] = {}
        self.digests: dict[str, str] = {}
        self.plans_loaded = False
        self.progress = RolloutProgress(node.timeline)
        self.orders: dict[tuple[str, str], asyncio.Task[None]] = {}

    def begin_term(self) -> None:
        """Reset the controller after this entry has acquired the lease."""
        self.controller = rollout.RolloutController(self.node.clock.monotonic(), WaveLoadSelector())
        self.plans_loaded = False

    async def work(self, leadership: Leadership) -> None:
        """Reconcile the desired and the observed state until cancelled.

        :param leadership: nothing is done while it does not hold the lease.
        """
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            if leadership.is_held and self.configuration.ready:
                await self._reconcile(leadership)

    async def _reconcile(self, leadership: Leadership) -> None:
        try:
            await self._load_plans()
        except CassiahitchError:
            return
        self.progress.record_finished(self.configuration.resources, self._observed_nodes())
        fencing_number = leadership.lease.fencing_number
        actions = self.controller.reconcile(
            self.configuration.resources,
            self._observed_nodes(),
            self.digests,
            fencing_number,
            self.node.clock.monotonic(),
        )
        for action in actions:
            if leadership.is_held:
                await self._perform(action)
        if leadership.is_held:
            self._order_drains(fencing_number)

    def _order_drains(self, fencing_number: int) -> None:
        members = self.agent_registry.membership.members
        for drain in drain_orders(self.configuration.resources, members, fencing_number):
            self._send(drain.host, drain.incarnation, messages.OrderDrain(fencing_number))

    async def _load_plans(self) -> None:
        if self.plans_loaded:
            return
        after = ''
        while True:
            rows = await self.tables.scan(PLAN_TABLE, '', after, PAGE_ROWS)
            for row in rows:
                self._add_plan(row.key, row.content)
            if len(rows) < PAGE_ROWS:
                break
            after = rows[-1].key
        self.plans_loaded = True

    def _add_plan(self, manifest: str, content: bytes) -> None:
        try:
            plan = parse_plan(content)
        except CassiahitchError as error:
            self.node.timeline.record(
                EventKind.rollout_cancelled,
                rollout_id=manifest,
                code=error.code,
            )
            return
        self.plans[manifest] = content
        self.digests[manifest] = plan.digest

    def _observed_nodes(self) -> tuple[ObservedNode, ...]:
        members = self.agent_registry.membership.members.values()
        return tuple(_observed_node(member) for member in members if self._runs_models(member))

    def _runs_models(self, member: Member) -> bool:
        agent = self.agent_registry.agents.get(member.heartbeat.host)
        return agent is not None and not agent.heartbeat.plain_service

    async def _perform(self, action: rollout.RolloutAction) -> None:
        match action:
            case rollout.WritePlan():
                await self._write_plan(action)
            case rollout.OrderFetch():
                self._order_fetch(action)
            case rollout.OrderLoad(target=target, fencing_number=fencing_number):
                order = messages.OrderLoad(
                    target.deployment,
                    target.digest,
                    target.manifests,
                    fencing_number,
                )
                self._send(action.host, action.incarnation, order)
            case rollout.OrderRelease(deployment=name, fencing_number=fencing_number):
                self._send(action.host, action.incarnation, messages.Release(name, fencing_number))
            case rollout.OrderCancel(digest=digest, fencing_number=fencing_number):
                self._send(
                    action.host, action.incarnation, messages.CancelLoad(digest, fencing_number)
                )

    async def _write_plan(self, action: rollout.WritePlan) -> None:
        participants = tuple(
            Participant(node.host, node.region, node.failure_domain) for node in action.participants
        )
        manifest = action.manifest
        plan = build_plan(manifest, manifest, action.objective, participants)
        content = plan.to_json()
        condition = Condition(PLAN_TABLE, manifest, ABSENT_VERSION)
        try:
            outcome = await self.tables.commit(
                (condition,), (Write(PLAN_TABLE, manifest, content),)
            )
        except CassiahitchError:
            self.plans_loaded = False
            return
        if isinstance(outcome, CommitConflict):
            self.plans_loaded = False
            return
        self._add_plan(manifest, content)
        self.node.timeline.record(EventKind.rollout_planned, rollout_id=manifest)

    def _order_fetch(self, action: rollout.OrderFetch) -> None:
        order = messages.FetchOrder(
            action.deployment,
            action.manifest,
            self._origin(action.manifest),
            self.plans[action.manifest],
            action.fencing_number,
        )
        self._send(action.host, action.incarnation, order)

    def _origin(self, manifest: str) -> str:
        for resource in self.configuration.resources.values():
            if isinstance(resource, Model | Adapter) and resource.manifest == manifest:
                return resource.origin
        return ''

    def _send(self, host: str, incarnation: int, order: messages.Message) -> None:
        key = (host, _order_kind(order))
        if key in self.orders:
            return
        task = asyncio.create_task(self._deliver(host, incarnation, order))
        self.orders[key] = task
        task.add_done_callback(lambda _: self.orders.pop(key))

    async def _deliver(self, host: str, incarnation: int, order: messages.Message) -> None:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                await self.agent_registry.call(host, incarnation, order)
        except CassiahitchError as error:
            self._record_refusal(host, error.code)
        except TimeoutError:
            self._record_refusal(host, Code.connection_silent)

    def _record_refusal(self, host: str, code: Code) -> None:
        self.node.timeline.record(EventKind.load_refused, code=code, detail=host)


def _order_kind(order: messages.Message) -> str:
    """Return the kind of an order; only one order per kind and host is sent at a time.

    Each manifest to fetch is a kind of its own.
    """
    name = type(order).__name__
    return f'{name} {order.manifest_digest}' if isinstance(order, messages.FetchOrder) else name


def _observed_node(member: Member) -> ObservedNode:
    heartbeat = member.heartbeat
    return ObservedNode(
        heartbeat.host,
        heartbeat.incarnation,
        heartbeat.info.region,
        heartbeat.info.failure_domain,
        heartbeat.weights.deployment,
        heartbeat.weights.loaded,
        heartbeat.weights.loading,
        frozenset(heartbeat.weights.complete),
        member.leaving,
        member.health is Health.alive,
    )


__all__ = ('RolloutDriver',)
