"""Answers of the soak's backend servers that do not end as they should."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from cassiahitch.platform import names
from cassiahitch.standins.backends import encode_head

if TYPE_CHECKING:
    from cassiahitch.standins.backends import ResponseWriter

#: Bytes that are written at once without end, and seconds between two such writes.
ENDLESS_BYTES = 16_384
ENDLESS_PAUSE_S = 0.002
#: Seconds between two bytes of an answer that is stuck.
TRICKLE_PAUSE_S = 0.3
#: Seconds after which a second copy of an answer comes.
COPY_DELAY_S = 0.03
#: Start of a head whose end never comes.
HEAD_WITHOUT_END = b'HTTP/1.1 200 OK\r\nX-Odd: '


async def write_endless(response: ResponseWriter, head: dict[str, str], *, in_head: bool) -> bool:
    """Write bytes until the peer closes.

    :param response: takes them.
    :param head: headers of the answer.
    :param in_head: whether the head has no end, instead of the body.
    :return: that the connection does not go on.
    """
    piece = b'x' * ENDLESS_BYTES
    if in_head:
        response.write_raw(HEAD_WITHOUT_END)
    else:
        response.send_head(HTTPStatus.OK, head)
    write = response.write_raw if in_head else response.send_data
    while not response.writer.is_closing():
        write(piece)
        await response.drain()
        await asyncio.sleep(ENDLESS_PAUSE_S)
    return False


async def write_trickle(response: ResponseWriter, content: bytes) -> bool:
    """Write a third of an answer, and then bytes of the rest now and then.

    :param response: takes them, with the head of the answer written.
    :param content: the content, without its end.
    :return: that the connection does not go on.
    """
    begun = len(content) // 3
    response.send_data(content[:begun])
    for number in range(begun, len(content) - 1):
        if response.writer.is_closing():
            break
        await response.drain()
        await asyncio.sleep(TRICKLE_PAUSE_S)
        response.send_data(content[number : number + 1])
    return False


async def write_duplicate(response: ResponseWriter, head: dict[str, str], body: bytes) -> bool:
    """Write a second copy of an answer, when its connection may be in use again.

    :param response: takes it.
    :param head: headers of the answer.
    :param body: its body.
    :return: that the connection goes on.
    """
    await asyncio.sleep(COPY_DELAY_S)
    response.write_raw(encode_head(HTTPStatus.OK, {**head, 'Content-Length': str(len(body))}), body)
    await response.drain()
    return True


def is_head_endless(head: dict[str, str]) -> bool:
    """Tell whether bytes without end stand in the head, for about half of all answers.

    :param head: headers of an answer.
    :return: whether they do.
    """
    return bool(head[names.ATTEMPT_ID].encode()[-1] % 2)


__all__ = (
    'is_head_endless',
    'write_trickle',
    'write_duplicate',
    'write_endless',
)
