"""Handshake in which both ends of a connection prove that they hold the system key."""

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
#: Largest frame that is accepted before the peer has proved the key, in bytes.
MAX_HANDSHAKE_BYTES = 4096

_DIALER_SIDE = b'dialer'
_ACCEPTOR_SIDE = b'acceptor'


def _proof(key: bytes, side: bytes, nonce: bytes, hello: Hello) -> bytes:
    content = repr(astuple(replace(hello, proof=b''))).encode()
    return hmac.digest(key, b'|'.join((side, nonce, content)), hashlib.sha256)


def _check_proof(key: bytes, side: bytes, nonce: bytes, hello: Hello) -> None:
    if not hmac.compare_digest(hello.proof, _proof(key, side, nonce, hello)):
        raise WireError(
            Code.handshake_refused, f'{hello.host} sent a proof that does not match the system key'
        )


async def _send(stream: IOStream, message: Challenge | Hello) -> None:
    await stream.write(pack(encode(Envelope(0, 0, 0, message))))


async def _receive_hello(stream: IOStream) -> Hello:
    message = decode(await read_frame(stream, MAX_HANDSHAKE_BYTES)).message
    if isinstance(message, Hello) and len(message.nonce) == NONCE_BYTES:
        return message
    raise WireError(Code.handshake_refused, 'expected a Hello message with a nonce')


async def accept_handshake(stream: IOStream, key: bytes, identity: Hello) -> Hello:
    """Run the handshake at the accepting end of a connection.

    :param stream: stream of the accepted connection.
    :param key: the system key.
    :param identity: identity of this process, without nonce and proof.
    :return: identity of the peer, whose proof is valid.
    :raises WireError: ``handshake_refused``, or the error of a corrupt frame.
    """
    challenge = Challenge(secrets.token_bytes(NONCE_BYTES))
    await _send(stream, challenge)
    peer = await _receive_hello(stream)
    _check_proof(key, _DIALER_SIDE, challenge.nonce, peer)
    hello = replace(identity, nonce=challenge.nonce)
    await _send(stream, replace(hello, proof=_proof(key, _ACCEPTOR_SIDE, peer.nonce, hello)))
    return peer


async def dial_handshake(stream: IOStream, key: bytes, identity: Hello) -> Hello:
    """Run the handshake at the dialling end of a connection.

    :param stream: stream of the connection that this process opened.
    :param key: the system key.
    :param identity: identity of this process, without nonce and proof.
    :return: identity of the peer, whose proof is valid.
    :raises WireError: ``handshake_refused``, or the error of a corrupt frame.
    """
    challenge = decode(await read_frame(stream, MAX_HANDSHAKE_BYTES)).message
    if not isinstance(challenge, Challenge):
        raise WireError(Code.handshake_refused, 'expected a Challenge message')
    hello = replace(identity, nonce=secrets.token_bytes(NONCE_BYTES))
    await _send(stream, replace(hello, proof=_proof(key, _DIALER_SIDE, challenge.nonce, hello)))
    peer = await _receive_hello(stream)
    _check_proof(key, _ACCEPTOR_SIDE, hello.nonce, peer)
    return peer


__all__ = (
    'accept_handshake',
    'dial_handshake',
)
