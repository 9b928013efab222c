"""Applies the decisions of the poison guard to requests, and reports their outcomes to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.routing.poison import (
    Hold,
    InFlightRequest,
    Notice,
    PoisonGuard,
    Refuse,
    RunAlone,
)
from cassiahitch.routing.suspects import Fingerprint

if TYPE_CHECKING:
    from cassiahitch.clock import Clock
    from cassiahitch.requests.api import Request
    from cassiahitch.requests.attempts import AttemptResult
    from cassiahitch.wire.messages import Heartbeat

#: Seconds after which a caller may retry a request that was held until its deadline.
RETRY_AFTER_S = 1.0

#: Sends notices to all other entries.
SendNotices = Callable[[tuple[Notice, ...]], None]


@dataclass(frozen=True, slots=True)
class Permit:
    """Where a request may run: alone on ``host`` if set, else on any host not in ``avoided``."""

    host: str = ''
    avoided: frozenset[str] = frozenset()


@dataclass(slots=True)
class PoisonGate:
    """Connects the poison guard of an entry with its requests, agents and peers.

    ``incarnations`` holds the incarnation and the backend crash count of each agent. Their sum
    serves as the incarnation of the backend server.
    """

    clock: Clock
    guard: PoisonGuard
    send_notices: SendNotices
    incarnations: dict[str, tuple[int, int]] = field(default_factory=dict)

    async def admit(self, request: Request, sends: int, ran: HasRun) -> Permit:
        """Wait until a request may be dispatched.

        :param request: the request.
        :param sends: number of times that it was sent.
        :param ran: whether it has run, for the error message.
        :return: where it may run.
        :raises RequestError: ``poison_refused``, or ``deadline_exceeded`` if it was held too long.
        """
        permit = self._decide(request, sends, ran)
        if permit is not None:
            return permit
        with ExitStack() as stack:
            _set_held(request, held=True)
            stack.callback(_set_held, request, held=False)
            return await self._wait(request, sends, ran)

    async def _wait(self, request: Request, sends: int, ran: HasRun) -> Permit:
        permit: Permit | None = None
        while permit is None:
            if self.clock.monotonic() >= request.deadline:
                detail = (
                    'the request was held back until its deadline after a backend server crashed'
                )
                raise RequestError(Code.deadline_exceeded, detail, ran, RETRY_AFTER_S)
            await asyncio.sleep(Hold().recheck_s)
            permit = self._decide(request, sends, ran)
        return permit

    def _decide(self, request: Request, sends: int, ran: HasRun) -> Permit | None:
        now = self.clock.monotonic()
        retry = request.retry or sends > 0
        decision = self.guard.admit(_fingerprint(request), now, retry=retry)
        match decision:
            case Refuse(retry_after_s=retry_after_s):
                detail = 'the request crashed the backend servers that ran it'
                raise RequestError(Code.poison_refused, detail, ran, retry_after_s)
            case RunAlone(host=host):
                self.send_notices(self.guard.reservation_notices(now))
                return Permit(host)
            case Hold():
                self.send_notices(self.guard.reservation_notices(now))
                return None
            case _:
                return Permit(avoided=self.guard.quarantined(now))

    def record_dispatch(self, request_id: str, request: Request, host: str, *, alone: bool) -> None:
        """Record a dispatch.

        :param request_id: id of the attempt.
        :param request: the request.
        :param host: the replica.
        :param alone: whether it runs alone.
        """
        incarnation = sum(self.incarnations.get(host, (0, 0)))
        running = InFlightRequest(_fingerprint(request), host, incarnation, alone)
        self.guard.record_dispatch(request_id, running)

    def record_end(self, request_id: str, result: AttemptResult) -> None:
        """Record the result of an attempt.

        :param request_id: id of the attempt.
        :param result: its result.
        """
        now = self.clock.monotonic()
        running = self.guard.running.get(request_id)
        match result.outcome:
            case Answer():
                self.send_notices(self.guard.record_completion(request_id, now))
            case Failure(ran=ran) if running and result.crashes and ran is not HasRun.no:
                agent, _ = self.incarnations.get(running.host, (0, 0))
                crashed = replace(running, incarnation=agent + result.crashes - 1)
                self.guard.record_dispatch(request_id, crashed)
                self.send_notices(self.guard.record_crash(crashed.host, crashed.incarnation, now))
                self.guard.record_end(request_id)
            case _:
                self.guard.record_end(request_id)

    def record_cancellation(self, request_id: str) -> None:
        """Record an attempt that was cancelled because its caller disconnected.

        :param request_id: id of the attempt.
        """
        self.guard.record_end(request_id)

    def receive_heartbeat(self, host: str, heartbeat: Heartbeat, service: str) -> None:
        """Apply an agent's heartbeat: crashes and readiness of its backend server.

        :param host: the replica.
        :param heartbeat: the heartbeat of its agent.
        :param service: name of the service that it serves, empty if none.
        """
        now = self.clock.monotonic()
        incarnation, crashes = self.incarnations.get(
            host, (heartbeat.incarnation, heartbeat.backend_crashes)
        )
        if incarnation == heartbeat.incarnation:
            for number in range(crashes, heartbeat.backend_crashes):
                self.send_notices(self.guard.record_crash(host, incarnation + number, now))
        self.incarnations[host] = (heartbeat.incarnation, heartbeat.backend_crashes)
        if heartbeat.ready and not heartbeat.leaving and service:
            services = frozenset((service,))
            self.guard.update_replica(host, services, sum(self.incarnations[host]))

    def remove_replica(self, host: str) -> None:
        """Remove a replica.

        :param host: the replica.
        """
        self.incarnations.pop(host, None)
        self.guard.remove_replica(host)


def _fingerprint(request: Request) -> Fingerprint:
    return Fingerprint(request.organisation, request.service, request.body_digest.hex())


def _set_held(request: Request, *, held: bool) -> None:
    if request.on_hold is not None:
        request.on_hold(held=held)


__all__ = (
    'Permit',
    'PoisonGate',
)
