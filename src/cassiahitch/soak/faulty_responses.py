"""Faulty ends of responses: endless, stuck and duplicated ones, sent by the soak's backends."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from cassiahitch.platform import names
from cassiahitch.standins.responses import encode_head, refusal_headers

if TYPE_CHECKING:
    from cassiahitch.standins.responses import ResponseWriter

#: Bytes of each write of an endless response, and seconds between two writes.
ENDLESS_WRITE_BYTES = 16_384
ENDLESS_INTERVAL_S = 0.002
#: Seconds between two bytes of a stuck response.
TRICKLE_INTERVAL_S = 0.3
#: Seconds between a response and its duplicate.
DUPLICATE_DELAY_S = 0.03
#: Start of a response head that never ends.
ENDLESS_HEAD_START = b'HTTP/1.1 200 OK\r\nX-Odd: '


async def write_endless(response: ResponseWriter, head: dict[str, str], *, in_head: bool) -> bool:
    """Write bytes until the peer closes the connection.

    :param response: the connection to write to.
    :param head: response headers.
    :param in_head: whether the head is endless rather than the body.
    :return: always ``False``: the connection can't be reused.
    """
    filler = b'x' * ENDLESS_WRITE_BYTES
    if in_head:
        response.write_raw(ENDLESS_HEAD_START)
    else:
        response.send_head(HTTPStatus.OK, head)
    write = response.write_raw if in_head else response.send_data
    while not response.writer.is_closing():
        write(filler)
        await response.drain()
        await asyncio.sleep(ENDLESS_INTERVAL_S)
    return False


async def write_trickle(response: ResponseWriter, content: bytes) -> bool:
    """Write a third of the content at once, and all but the last byte of the rest very slowly.

    :param response: the connection to write to, after the response head.
    :param content: the complete content.
    :return: always ``False``: the connection can't be reused.
    """
    start = len(content) // 3
    response.send_data(content[:start])
    for offset in range(start, len(content) - 1):
        if response.writer.is_closing():
            break
        await response.drain()
        await asyncio.sleep(TRICKLE_INTERVAL_S)
        response.send_data(content[offset : offset + 1])
    return False


async def write_duplicate(response: ResponseWriter, head: dict[str, str], body: bytes) -> bool:
    """Write a response a second time, when the connection may already serve another request.

    :param response: the connection to write to.
    :param head: response headers.
    :param body: response body.
    :return: always ``True``: the connection stays open.
    """
    await asyncio.sleep(DUPLICATE_DELAY_S)
    response.write_raw(encode_head(HTTPStatus.OK, {**head, 'Content-Length': str(len(body))}), body)
    await response.drain()
    return True


def encode_refusal(attempt: str) -> bytes:
    """Encode a refusal that is written once more; about half of them bear no id.

    :param attempt: id of the attempt that was refused, which decides.
    :return: the encoded response.
    """
    headers = {**refusal_headers(attempt), 'Content-Length': '0'}
    if attempt.encode()[-1] % 2:
        headers.pop(names.ATTEMPT_ID)
    return encode_head(HTTPStatus.SERVICE_UNAVAILABLE, headers)


def is_head_endless(head: dict[str, str]) -> bool:
    """Return whether an endless response is endless in its head, as about half of them are.

    :param head: response headers; the attempt's id decides.
    :return: whether the head is endless rather than the body.
    """
    return bool(head[names.ATTEMPT_ID].encode()[-1] % 2)


__all__ = (
    'encode_refusal',
    'is_head_endless',
    'write_duplicate',
    'write_endless',
    'write_trickle',
)
