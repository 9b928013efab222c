"""Claim rows in the table service: their content, keys and validation."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import TYPE_CHECKING, Annotated

from pydantic import Base64Bytes, BaseModel, ConfigDict, Field, ValidationError

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import PlatformError
from cassiahitch.ledger.api import Answer, Failure
from cassiahitch.resources.models import Digest, Name

if TYPE_CHECKING:
    from cassiahitch.ledger.api import Outcome
    from cassiahitch.stores.api import Row

#: Table of the claim rows, by row key.
TABLE = 'claims'
#: Size of the largest answer that a row holds; larger answers are kept by the agent only.
INLINE_ANSWER_BYTES = 4096
#: Size of the largest row that is parsed; a larger one counts as corrupt.
MAX_ROW_BYTES = 16_384
MAX_METADATA_PAIRS = 16
MAX_TEXT_LENGTH = 256

ShortText = Annotated[str, Field(max_length=MAX_TEXT_LENGTH)]


class RowState(StrEnum):
    """State of a claim on its row."""

    claimed = 'claimed'
    done = 'done'


class ClaimRow(BaseModel):
    """Content of a claim row.

    ``not_after`` is in seconds of the monotonic clock of the agent that made the claim,
    ``created`` in seconds since the Unix epoch.
    """

    model_config = ConfigDict(extra='forbid', frozen=True, allow_inf_nan=False)

    key: Digest
    organisation: Name
    body_digest: Digest
    agent: ShortText
    incarnation: int = Field(ge=0)
    claim_id: ShortText
    not_after: float
    created: float
    state: RowState = RowState.claimed
    code: Code = Code.ok
    ran: HasRun = HasRun.unknown
    answer: Base64Bytes | None = None
    answer_digest: Digest | None = None
    metadata: tuple[tuple[ShortText, ShortText], ...] = Field(
        default=(), max_length=MAX_METADATA_PAIRS
    )

    def outcome(self) -> Outcome | None:
        """Return the outcome that the row holds.

        :return: the outcome, or ``None`` if there is none or only the agent keeps its answer.
        """
        if self.state == RowState.claimed:
            return None
        if self.code != Code.ok:
            return Failure(self.code, self.ran)
        if self.answer is None or self.answer_digest is None:
            return None
        return Answer(self.answer, self.answer_digest, self.metadata)

    def with_outcome(self, outcome: Outcome) -> ClaimRow:
        """Return a copy of the row with an outcome.

        :param outcome: the outcome of the claim.
        :return: a new row.
        """
        match outcome:
            case Answer():
                return self.model_copy(update=answer_fields(outcome))
            case Failure(code=code, ran=ran):
                return self.model_copy(update={'state': RowState.done, 'code': code, 'ran': ran})

    def encode(self) -> bytes:
        """Return the content of the row.

        :return: JSON.
        """
        return self.model_dump_json(exclude_defaults=True).encode()


def answer_fields(answer: Answer) -> dict[str, object]:
    """Return the fields of a row that hold an answer.

    :param answer: the answer; its content is left out if it is too large for a row.
    :return: the fields by name.
    """
    return {
        'state': RowState.done,
        'answer': answer.content if is_inline(answer) else None,
        'answer_digest': answer.digest,
        'metadata': answer.metadata,
    }


def is_inline(outcome: Outcome | None) -> bool:
    """Return whether a row can hold an outcome completely.

    :param outcome: the outcome of a claim, if there is one.
    :return: whether it can; false without an outcome and for a large answer.
    """
    match outcome:
        case Answer(content=content):
            return len(content) <= INLINE_ANSWER_BYTES
        case _:
            return outcome is not None


def row_key(organisation: str, service: str, caller_key: str) -> str:
    """Return the row key of a claim.

    :param organisation: name of the organisation.
    :param service: name of the service that the request is for.
    :param caller_key: the key that the caller chose.
    :return: the hexadecimal SHA-256 of all three.
    """
    return hashlib.sha256(f'{organisation}\0{service}\0{caller_key}'.encode()).hexdigest()


def parse_row(row: Row) -> ClaimRow:
    """Return the claim that a row holds.

    :param row: a row that the table service returned.
    :return: the claim.
    :raises PlatformError: ``store_row_corrupt``.
    """
    if len(row.content) > MAX_ROW_BYTES:
        raise corrupt_row_error(row)
    try:
        claim = ClaimRow.model_validate_json(row.content)
    except ValidationError as error:
        raise corrupt_row_error(row) from error
    if claim.key != row.key or not has_valid_digest(claim):
        raise corrupt_row_error(row)
    return claim


def has_valid_digest(claim: ClaimRow) -> bool:
    """Return whether the answer on a row matches its digest.

    :param claim: the claim.
    :return: whether it does; true if the row holds no answer.
    """
    if claim.answer is None:
        return True
    return hashlib.sha256(claim.answer).hexdigest() == claim.answer_digest


def corrupt_row_error(row: Row) -> PlatformError:
    """Return the error for a row that does not hold a valid claim.

    :param row: the row.
    :return: the error.
    """
    return PlatformError(
        Code.store_row_corrupt, f'row {row.key[:MAX_TEXT_LENGTH]} holds no valid claim'
    )


__all__ = (
    'INLINE_ANSWER_BYTES',
    'TABLE',
    'ClaimRow',
    'RowState',
    'is_inline',
    'parse_row',
    'row_key',
)
