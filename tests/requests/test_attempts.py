"""Tests that misdirected, truncated or corrupted answers of an attempt reach no caller."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from cassiahitch.clock import SystemClock
from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.requests.api import Request
from cassiahitch.requests.attempts import Attempt, Target
from cassiahitch.timeline.ring import Timeline
from cassiahitch.wire import messages

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cassiahitch.ledger.api import Outcome

TEXT = b'draft'
OTHER_ID = b'x' * 16


class FakeConnection:
    """Replies to a dispatch with the given messages."""

    close_reason = None

    def __init__(self, replies: tuple[messages.Message, ...]) -> None:
        self.replies = replies

    async def stream_call(self, _call: messages.Message) -> AsyncGenerator[messages.Message, None]:
        for reply in self.replies:
            yield reply


def matching_answer(request: Request) -> messages.Answer:
    return messages.Answer(
        bytes([*request.identifier, 0]),
        request.body_digest,
        Code.ok,
        HasRun.yes,
        body=TEXT,
        length=len(TEXT),
        checksum=hashlib.sha256(TEXT).digest(),
    )


async def run(request: Request, *replies: messages.Message) -> Outcome:
    clock = SystemClock()
    request.deadline = clock.monotonic() + 60
    request.idempotent = True
    node: Any = SimpleNamespace(clock=clock, timeline=Timeline('entry', clock, capacity=8))
    agent = SimpleNamespace(
        connection=FakeConnection(replies),
        heartbeat=messages.Heartbeat(incarnation=1),
        clock_offset_s=0,
    )
    agent_registry: Any = SimpleNamespace(agents={'host': agent})
    reconnector: Any = None
    attempt = Attempt(node, agent_registry, reconnector, request, 0)
    return (await attempt.run(Target('host', 1, 'key'))).outcome


def test_matching_answer_is_accepted() -> None:
    request = Request('draft', b'menu')
    outcome = asyncio.run(run(request, matching_answer(request)))
    assert isinstance(outcome, Answer)
    assert outcome.content == TEXT


@pytest.mark.parametrize(
    'change',
    [
        pytest.param({'request_id': OTHER_ID}, id='other-request'),
        pytest.param({'body_digest': b'y' * 32}, id='other-body'),
        pytest.param({'body': b'dra'}, id='cut-short'),
        pytest.param({'body': b'drift'}, id='changed'),
        pytest.param({'checksum': b''}, id='no-checksum'),
    ],
)
def test_mismatched_or_incomplete_answer_is_never_a_success(change: dict[str, Any]) -> None:
    request = Request('draft', b'menu')
    answer = replace(matching_answer(request), **change)
    outcome = asyncio.run(run(request, answer))
    assert isinstance(outcome, Failure)
    assert outcome.ran is HasRun.unknown


def test_part_of_another_answer_is_not_passed_to_the_caller() -> None:
    request = Request('draft', b'menu', stream=True)
    received: list[bytes] = []
    request.on_part = received.append
    stray = messages.AnswerPart(OTHER_ID, 0, b'not yours')
    outcome = asyncio.run(run(request, stray, matching_answer(request)))
    assert isinstance(outcome, Failure)
    assert not received
