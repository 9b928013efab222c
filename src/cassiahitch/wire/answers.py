"""Conversion between outcomes of the ledger and answers on the wire."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import WireError
from cassiahitch.ledger.api import Answer, Failure, State
from cassiahitch.wire import messages

if TYPE_CHECKING:
    from cassiahitch.ledger.api import Outcome, StateReply

#: Metadata key of the digest of the weights that drafted an answer.
WEIGHTS = 'weights'


def decode_outcome(answer: messages.Answer) -> Outcome:
    """Return the outcome that an answer carries.

    :param answer: a whole answer, or a failure.
    :return: the outcome.
    :raises WireError: ``frame_corrupt`` if length or checksum are wrong.
    """
    try:
        code = Code(answer.code)
        ran = HasRun(answer.ran)
    except ValueError as error:
        raise WireError(Code.frame_corrupt, 'an answer with an unknown code') from error
    if code is not Code.ok:
        return Failure(code, ran)
    if len(answer.body) != answer.length:
        raise WireError(Code.frame_corrupt, 'an answer of a wrong length')
    checksum = hashlib.sha256(answer.body)
    if checksum.digest() != answer.checksum:
        raise WireError(Code.frame_corrupt, 'an answer with a wrong checksum')
    return Answer(answer.body, checksum.hexdigest(), ((WEIGHTS, answer.weights_digest),))


def encode_outcome(
    outcome: Outcome, request_id: bytes = b'', body_digest: bytes = b''
) -> messages.Answer:
    """Return the answer that carries an outcome.

    :param outcome: the outcome.
    :param request_id: 16 bytes of the request that it answers.
    :param body_digest: SHA-256 of the body of that request.
    :return: the answer.
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
                weights_digest=dict(metadata).get(WEIGHTS, ''),
            )


def encode_ledger_state(reply: StateReply, incarnation: int) -> messages.LedgerState:
    """Return the message that carries the state of a key.

    :param reply: the state.
    :param incarnation: that of the agent.
    :return: the message.
    """
    answers = () if reply.outcome is None else (encode_outcome(reply.outcome),)
    return messages.LedgerState(reply.key, reply.state.value, incarnation, answers)


def final_outcome(state: messages.LedgerState) -> Outcome | None:
    """Return what a settled key ended with.

    :param state: the state of the key.
    :return: the outcome; a void key did not run; nothing if it still runs.
    """
    if state.answers:
        return decode_outcome(state.answers[0])
    if state.state == State.void:
        return Failure(Code.request_voided, HasRun.no)
    if state.state == State.reused:
        return Failure(Code.key_reused, HasRun.no)
    return None


__all__ = (
    'WEIGHTS',
    'encode_outcome',
    'encode_ledger_state',
    'decode_outcome',
    'final_outcome',
)
