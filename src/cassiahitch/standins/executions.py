"""Execution of requests by the stand-ins of backend servers, with injected faults."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from cassiahitch.platform import names
from cassiahitch.standins.faults import Fault
from cassiahitch.standins.responses import ResponseWriter, encode_head

if TYPE_CHECKING:
    from cassiahitch.standins.backends import BackendStandin


@dataclass(frozen=True, slots=True)
class ExecutedRequest:
    """A request that the backend server started to execute."""

    attempt_id: str
    target: str
    organisation: str
    version: int
    last_event_id: int


@dataclass(frozen=True, slots=True)
class BegunRequest:
    """A request whose first event an engine made, ``at`` in seconds of the event loop's clock."""

    attempt_id: str
    version: int
    at: float


async def respond_plain(
    backend: BackendStandin, response: ResponseWriter, attempt: str, fault: Fault
) -> bool:
    """Respond with a single body.

    :param backend: the backend server.
    :param response: writes the response.
    :param attempt: id of the attempt.
    :param fault: the fault to inject.
    :return: whether the connection can serve another request.
    """
    await asyncio.sleep(backend.pause_s)
    head = {names.ATTEMPT_ID: attempt, names.RESPONSE_SEAL: f'seal-{backend.id}'}
    body = f'{backend.id} {attempt}'.encode() + b'-' * backend.padding
    match fault:
        case Fault.hang:
            await asyncio.sleep(60)
        case Fault.lose:
            response.reset()
            return False
        case Fault.cut:
            response.write_raw(encode_head(HTTPStatus.OK, {**head, 'Content-Length': '999'}), body)
            response.reset()
            return False
        case Fault.unframed:
            response.write_raw(encode_head(HTTPStatus.OK, {**head, 'Connection': 'close'}), body)
            return False
        case Fault.foreign:
            foreign_head = {
                names.ATTEMPT_ID: 'stranger',
                names.RESPONSE_SEAL: 'x',
                'Content-Length': '2',
            }
            response.write_raw(encode_head(HTTPStatus.OK, foreign_head), b'no')
        case Fault.unsealed:
            head.pop(names.RESPONSE_SEAL)
        case Fault.fail:
            await response.send_response(HTTPStatus.INTERNAL_SERVER_ERROR, head, b'failed')
            return True
        case _:
            pass
    await response.send_response(HTTPStatus.OK, head, body)
    if fault is Fault.extra:
        response.write_raw(encode_head(HTTPStatus.OK, {**head, 'Content-Length': '5'}), b'again')
    return True


async def respond_stream(
    backend: BackendStandin, response: ResponseWriter, attempt: str, after: int, fault: Fault
) -> bool:
    """Respond with a stream of events.

    :param backend: the backend server.
    :param response: writes the response.
    :param attempt: id of the attempt.
    :param after: id of the last event that the caller has received.
    :param fault: the fault to inject.
    :return: whether the connection can serve another request.
    """
    head = {
        names.ATTEMPT_ID: attempt,
        names.RESPONSE_SEAL: f'seal-{backend.id}',
        'Content-Type': 'text/event-stream',
    }
    if fault is Fault.lose:
        response.reset()
        return False
    if not await wait_in_queue(backend, response):
        return False
    version = backend.engine.version if backend.engine else 0
    backend.begun.append(BegunRequest(attempt, version, asyncio.get_running_loop().time()))
    response.send_head(HTTPStatus.OK, head)
    for number in range(after + 1, backend.events + 1):
        await asyncio.sleep(backend.pause_s)
        event = f'id: {number}\ndata: {attempt} {number}\n\n'.encode()
        if fault is Fault.cut and number == after + 3:
            response.send_data(event[: len(event) // 2])
            await response.drain()
            response.reset()
            return False
        response.send_data(event)
        await response.drain()
    response.send_end()
    return True


async def wait_in_queue(backend: BackendStandin, response: ResponseWriter) -> bool:
    """Wait until a stream can begin.

    :param backend: the backend server.
    :param response: writes the response.
    :return: whether it begins; not if the caller has closed the connection in time.
    """
    clock = asyncio.get_running_loop().time
    await asyncio.sleep(backend.queue_s)
    silent_s = backend.silent_until - clock()
    if silent_s <= 0:
        return not response.writer.is_closing()
    # The close is read only after the silence, when the waiting requests begin.
    await asyncio.sleep(silent_s)
    return True


__all__ = (
    'BegunRequest',
    'ExecutedRequest',
    'respond_plain',
    'respond_stream',
    'wait_in_queue',
)
