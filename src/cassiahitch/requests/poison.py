"""Asks the poison guard before each dispatch and tells it how requests end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, Ran
from cassiahitch.errors import RequestError
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.routing.poison import (
    Hold,
    Notice,
    PoisonGuard,
    Refuse,
    RunAlone,
    Running,
)
from cassiahitch.routing.suspects import Fingerprint

if TYPE_CHECKING:
    from cassiahitch.clock import Clock
    from cassiahitch.requests.api import Request
    from cassiahitch.requests.attempts import AttemptResult
    from cassiahitch.wire.messages import Heartbeat

#: Seconds after which a caller may send a request again that was held to its deadline.
RETRY_AFTER_S = 1.0

Share = Callable[[tuple[Notice, ...]], None]


@dataclass(frozen=True, slots=True)
class Permit:
    """Where a request may run: only on ``host`` and alone, or anywhere but on ``avoided``."""

    host: str = ''
    avoided: frozenset[str] = frozenset()


@dataclass(slots=True)
class PoisonGate:
    """Connects the poison guard of an entry with its requests, agents and peers."""

    clock: Clock
    guard: PoisonGuard
    share: Share
    known: dict[str, tuple[int, int]] = field(default_factory=dict)

    async def admit(self, request: Request, sends: int, ran: Ran) -> Permit:
        """Wait until a request may be dispatched.

        :param request: the request.
        :param sends: how often it was sent.
        :param ran: whether it has run, for its caller.
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

    async def _wait(self, request: Request, sends: int, ran: Ran) -> Permit:
        permit: Permit | None = None
        while permit is None:
            if self.clock.monotonic() >= request.deadline:
                detail = 'held back after a crash of a backend server'
                raise RequestError(Code.deadline_exceeded, detail, ran, RETRY_AFTER_S)
            await asyncio.sleep(Hold().recheck_s)
            permit = self._decide(request, sends, ran)
        return permit

    def _decide(self, request: Request, sends: int, ran: Ran) -> Permit | None:
        now = self.clock.monotonic()
        retry = request.retry or sends > 0
        decision = self.guard.admit(_fingerprint(request), now, retry=retry)
        match decision:
            case Refuse(retry_after_s=retry_after_s):
                detail = 'this request crashed the backend servers that ran it'
                raise RequestError(Code.poison_refused, detail, ran, retry_after_s)
            case RunAlone(host=host):
                self.share(self.guard.reservation_notices(now))
                return Permit(host)
            case Hold():
                self.share(self.guard.reservation_notices(now))
                return None
            case _:
                return Permit(avoided=self.guard.quarantined(now))

    def record_dispatch(self, request_id: str, request: Request, host: str, *, alone: bool) -> None:
        """Note a dispatch.

        :param request_id: id of the attempt.
        :param request: the request.
        :param host: the replica.
        :param alone: whether it runs alone.
        """
        incarnation = sum(self.known.get(host, (0, 0)))
        running = Running(_fingerprint(request), host, incarnation, alone)
        self.guard.record_dispatch(request_id, running)

    def ended(self, request_id: str, ended: AttemptResult) -> None:
        """Note how an attempt ended.

        :param request_id: id of the attempt.
        :param ended: its end.
        """
        now = self.clock.monotonic()
        running = self.guard.running.get(request_id)
        match ended.outcome:
            case Answer():
                self.share(self.guard.completed(request_id, now))
            case Failure(ran=ran) if running and ended.crashes and ran is not Ran.no:
                agent, _ = self.known.get(running.host, (0, 0))
                crashed = replace(running, incarnation=agent + ended.crashes - 1)
                self.guard.record_dispatch(request_id, crashed)
                self.share(self.guard.crashed(crashed.host, crashed.incarnation, now))
                self.guard.ended(request_id)
            case _:
                self.guard.ended(request_id)

    def cancelled(self, request_id: str) -> None:
        """Note an attempt whose caller has left.

        :param request_id: id of the attempt.
        """
        self.guard.ended(request_id)

    def receive_heartbeat(self, host: str, beat: Heartbeat, service: str) -> None:
        """Take in what an agent says of its backend server.

        :param host: the replica.
        :param beat: the heartbeat of its agent.
        :param service: what it serves.
        """
        now = self.clock.monotonic()
        incarnation, crashes = self.known.get(host, (beat.incarnation, beat.backend_crashes))
        if incarnation == beat.incarnation:
            for number in range(crashes, beat.backend_crashes):
                self.share(self.guard.crashed(host, incarnation + number, now))
        self.known[host] = (beat.incarnation, beat.backend_crashes)
        if beat.ready and not beat.leaving and service:
            services = frozenset((service,))
            self.guard.update_replica(host, services, sum(self.known[host]))

    def remove_replica(self, host: str) -> None:
        """Forget a replica that left.

        :param host: the replica.
        """
        self.known.pop(host, None)
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
