"""Carries out the orders of the rollout controller while this entry holds the lease."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers import rollout
from cassiahitch.controllers.assignment import ObservedNode
from cassiahitch.controllers.drain import drain_orders
from cassiahitch.controllers.wavegate import WaveGate
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

PLANS = 'plans'
#: Seconds between comparisons of what is desired and what is observed.
RECONCILE_S = 0.25
#: Longest time that an order may take, in seconds.
ORDER_TIMEOUT_S = 3
PAGE = 500


class RolloutDriver:
    """Owns the plans and the orders under way."""

    def __init__(
        self,
        node: Node,
        configuration: Configuration,
        agent_registry: AgentRegistry,
        tables: TableService,
    ) -> None:
        """Create it; it acts only while the lease is held.

        :param node: this process.
        :param configuration: what is desired.
        :param agent_registry: what is observed, and the way to the agents.
        :param tables: where plans are written once.
        """
        self.node = node
        self.configuration = configuration
        self.agent_registry = agent_registry
        self.tables = tables
        self.controller = rollout.RolloutController(0, WaveGate())
        self.plans: dict[str, bytes] = {}
        self.digests: dict[str, str] = {}
        self.loaded_plans = False
        self.progress = RolloutProgress(node.timeline)
        self.orders: dict[tuple[str, str], asyncio.Task[None]] = {}

    def begin_term(self) -> None:
        """Start anew after the lease was gained."""
        self.controller = rollout.RolloutController(self.node.clock.monotonic(), WaveGate())
        self.loaded_plans = False

    async def run(self, leadership: Leadership) -> None:
        """Reconcile until cancelled.

        :param leadership: tells whether this entry may act.
        """
        while True:
            await asyncio.sleep(RECONCILE_S)
            if leadership.is_held and self.configuration.ready:
                await self._reconcile(leadership)

    async def _reconcile(self, leadership: Leadership) -> None:
        try:
            await self._load_plans()
        except CassiahitchError:
            return
        self.progress.observe(self.configuration.resources, self._observed())
        number = leadership.lease.fencing_number
        actions = self.controller.reconcile(
            self.configuration.resources,
            self._observed(),
            self.digests,
            number,
            self.node.clock.monotonic(),
        )
        for action in actions:
            if leadership.is_held:
                await self._perform(action)
        if leadership.is_held:
            self._order_drains(number)

    def _order_drains(self, number: int) -> None:
        members = self.agent_registry.membership.members
        for drain in drain_orders(self.configuration.resources, members, number):
            self._send(drain.host, drain.incarnation, messages.OrderDrain(number))

    async def _load_plans(self) -> None:
        if self.loaded_plans:
            return
        after = ''
        while True:
            rows = await self.tables.scan(PLANS, '', after, PAGE)
            for row in rows:
                self._keep(row.key, row.content)
            if len(rows) < PAGE:
                break
            after = rows[-1].key
        self.loaded_plans = True

    def _keep(self, manifest: str, content: bytes) -> None:
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

    def _observed(self) -> tuple[ObservedNode, ...]:
        members = self.agent_registry.membership.members.values()
        return tuple(_observed(member) for member in members if self._takes_models(member))

    def _takes_models(self, member: Member) -> bool:
        agent = self.agent_registry.agents.get(member.heartbeat.host)
        return agent is not None and not agent.heartbeat.plain_service

    async def _perform(self, action: rollout.RolloutAction) -> None:
        match action:
            case rollout.WritePlan():
                await self._write_plan(action)
            case rollout.OrderFetch():
                self._order_fetch(action)
            case rollout.OrderLoad(target=target, fencing_number=number):
                order = messages.OrderLoad(
                    target.deployment,
                    target.digest,
                    target.manifests,
                    number,
                )
                self._send(action.host, action.incarnation, order)
            case rollout.Release(deployment=name, fencing_number=number):
                self._send(action.host, action.incarnation, messages.Release(name, number))
            case rollout.Cancel(digest=digest, fencing_number=number):
                self._send(action.host, action.incarnation, messages.CancelLoad(digest, number))

    async def _write_plan(self, action: rollout.WritePlan) -> None:
        participants = tuple(
            Participant(found.host, found.region, found.failure_domain)
            for found in action.participants
        )
        manifest = action.manifest
        plan = build_plan(manifest, manifest, action.objective, participants)
        content = plan.to_json()
        condition = Condition(PLANS, manifest, ABSENT_VERSION)
        try:
            outcome = await self.tables.commit((condition,), (Write(PLANS, manifest, content),))
        except CassiahitchError:
            self.loaded_plans = False
            return
        if isinstance(outcome, CommitConflict):
            self.loaded_plans = False
            return
        self._keep(manifest, content)
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
        key = (host, _kind(order))
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
            self._refused(host, error.code)
        except TimeoutError:
            self._refused(host, Code.connection_silent)

    def _refused(self, host: str, code: Code) -> None:
        self.node.timeline.record(EventKind.load_refused, code=code, detail=host)


def _kind(order: messages.Message) -> str:
    """Return what is sent to a host once at a time; each manifest counts on its own."""
    name = type(order).__name__
    return f'{name} {order.manifest_digest}' if isinstance(order, messages.FetchOrder) else name


def _observed(member: Member) -> ObservedNode:
    beat = member.heartbeat
    return ObservedNode(
        beat.host,
        beat.incarnation,
        beat.info.region,
        beat.info.failure_domain,
        beat.weights.deployment,
        beat.weights.loaded,
        beat.weights.loading,
        frozenset(beat.weights.complete),
        member.leaving,
        member.health is Health.alive,
    )


__all__ = ('RolloutDriver',)
