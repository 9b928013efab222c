"""Mutual proof that both ends of a connection know the system key."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import astuple, replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import WireError
from cassiahitch.wire.codec import Envelope, decode, encode
from cassiahitch.wire.framing import pack, read_frame
from cassiahitch.wire.messages import Challenge, Hello

if TYPE_CHECKING:
    from tornado.iostream import IOStream

NONCE_BYTES = 16
#: Largest frame before the peer has proved that it knows the key, in bytes.
MAX_HANDSHAKE_BYTES = 4096

_DIALER = b'dialer'
_ACCEPTOR = b'acceptor'


def _proof(key: bytes, side: bytes, nonce: bytes, hello: Hello) -> bytes:
    content = repr(astuple(replace(hello, proof=b''))).encode()
    return hmac.digest(key, b'|'.join((side, nonce, content)), hashlib.sha256)


def _check(key: bytes, side: bytes, nonce: bytes, hello: Hello) -> None:
    if not hmac.compare_digest(hello.proof, _proof(key, side, nonce, hello)):
        raise WireError(Code.handshake_refused, f'{hello.host} does not prove the system key')


async def _send(stream: IOStream, message: Challenge | Hello) -> None:
    await stream.write(pack(encode(Envelope(0, 0, 0, message))))


async def _receive_hello(stream: IOStream) -> Hello:
    message = decode(await read_frame(stream, MAX_HANDSHAKE_BYTES)).message
    if isinstance(message, Hello) and len(message.nonce) == NONCE_BYTES:
        return message
    raise WireError(Code.handshake_refused, 'expected a hello')


async def accept_handshake(stream: IOStream, key: bytes, own: Hello) -> Hello:
    """Prove the key to a dialer and check its proof.

    :param stream: the accepted connection.
    :param key: the system key.
    :param own: what this process says of itself.
    :return: what the dialer says of itself.
    :raises WireError: ``handshake_refused``, or that of a broken frame.
    """
    challenge = Challenge(secrets.token_bytes(NONCE_BYTES))
    await _send(stream, challenge)
    peer = await _receive_hello(stream)
    _check(key, _DIALER, challenge.nonce, peer)
    hello = replace(own, nonce=challenge.nonce)
    await _send(stream, replace(hello, proof=_proof(key, _ACCEPTOR, peer.nonce, hello)))
    return peer


async def dial_handshake(stream: IOStream, key: bytes, own: Hello) -> Hello:
    """Prove the key to an acceptor and check its proof.

    :param stream: the connection that this process opened.
    :param key: the system key.
    :param own: what this process says of itself.
    :return: what the acceptor says of itself.
    :raises WireError: ``handshake_refused``, or that of a broken frame.
    """
    challenge = decode(await read_frame(stream, MAX_HANDSHAKE_BYTES)).message
    if not isinstance(challenge, Challenge):
        raise WireError(Code.handshake_refused, 'expected a challenge')
    hello = replace(own, nonce=secrets.token_bytes(NONCE_BYTES))
    await _send(stream, replace(hello, proof=_proof(key, _DIALER, challenge.nonce, hello)))
    peer = await _receive_hello(stream)
    _check(key, _ACCEPTOR, hello.nonce, peer)
    return peer


__all__ = (
    'accept_handshake',
    'dial_handshake',
)
