"""Conversion between outcomes of the ledger and ``Answer`` messages."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import WireError
from cassiahitch.ledger.api import Answer, Failure, KeyState
from cassiahitch.wire import messages

if TYPE_CHECKING:
    from cassiahitch.ledger.api import Outcome, StateReply

#: Metadata key of the digest of the weights that generated an answer.
WEIGHTS_KEY = 'weights'


def decode_outcome(answer: messages.Answer) -> Outcome:
    """Decode the outcome of a request from its message.

    :param answer: message with a complete answer, or with a failure.
    :return: the outcome.
    :raises WireError: ``frame_corrupt`` if the code is unknown or the length or the checksum does
        not match the body.
    """
    try:
        code = Code(answer.code)
        ran = HasRun(answer.ran)
    except ValueError as error:
        raise WireError(Code.frame_corrupt, 'the code of an answer is unknown') from error
    if code is not Code.ok:
        return Failure(code, ran)
    if len(answer.body) != answer.length:
        raise WireError(Code.frame_corrupt, 'the length of an answer does not match its body')
    checksum = hashlib.sha256(answer.body)
    if checksum.digest() != answer.checksum:
        raise WireError(Code.frame_corrupt, 'the checksum of an answer does not match its body')
    return Answer(answer.body, checksum.hexdigest(), ((WEIGHTS_KEY, answer.weights_digest),))


def encode_outcome(
    outcome: Outcome, request_id: bytes = b'', body_digest: bytes = b''
) -> messages.Answer:
    """Encode the outcome of a request as a message.

    :param outcome: the outcome.
    :param request_id: identifier of the request, 16 bytes.
    :param body_digest: SHA-256 of the body of the request.
    :return: the message.
    """
    match outcome:
        case Failure(code=code, ran=ran):
            return messages.Answer(request_id, body_digest, code=code.value, ran=ran.value)
        case Answer(content=content, digest=digest, metadata=metadata):
            return messages.Answer(
                request_id,
                body_digest,
                code=Code.ok.value,
                ran=HasRun.yes.value,
                body=content,
                length=len(content),
                checksum=bytes.fromhex(digest),
                weights_digest=dict(metadata).get(WEIGHTS_KEY, ''),
            )


def encode_ledger_state(reply: StateReply, incarnation: int) -> messages.LedgerState:
    """Encode the state of a ledger key as a message.

    :param reply: state of the key.
    :param incarnation: incarnation of the agent that holds the ledger.
    :return: the message.
    """
    answers = () if reply.outcome is None else (encode_outcome(reply.outcome),)
    return messages.LedgerState(reply.key, reply.state.value, incarnation, answers)


def final_outcome(state: messages.LedgerState) -> Outcome | None:
    """Return the final outcome of the request of a ledger key.

    :param state: message with the state of the key.
    :return: the outcome, ``None`` if the request is still running; a void or reused key counts
        as a failure that has not run.
    """
    if state.answers:
        return decode_outcome(state.answers[0])
    if state.state == KeyState.void:
        return Failure(Code.request_voided, HasRun.no)
    if state.state == KeyState.reused:
        return Failure(Code.key_reused, HasRun.no)
    return None


__all__ = (
    'WEIGHTS_KEY',
    'encode_outcome',
    'encode_ledger_state',
    'decode_outcome',
    'final_outcome',
)
