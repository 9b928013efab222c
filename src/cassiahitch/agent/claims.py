"""Executes actions of the claims of an agent on the table service and on other agents."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError, PlatformError
from cassiahitch.ledger.api import KeyState
from cassiahitch.ledger.claim_api import (
    BatchCommitted,
    BatchConflicted,
    BatchFailed,
    BatchOutcomeUnknown,
    BatchReply,
    CommitBatch,
    OwnerReplied,
    OwnerReply,
    OwnerUnreachable,
    QueryOwner,
    ReadFailed,
    ReadReply,
    ReadRow,
    RowRead,
)
from cassiahitch.ledger.rows import TABLE
from cassiahitch.metrics.names import CounterName
from cassiahitch.stores.api import CommitSuccess
from cassiahitch.wire.answers import decode_outcome
from cassiahitch.wire.messages import LedgerState, Void

if TYPE_CHECKING:
    from cassiahitch.stores.api import TableService
    from cassiahitch.wire.messages import Message
    from cassiahitch.wire.node import Node

MS_PER_S = 1000


class PeerCaller(Protocol):
    """Sends requests to other agents."""

    async def call(self, host: str, message: Message) -> Message:
        """Send a message to a host and return its reply; raise an error if unreachable."""


@dataclass(frozen=True, slots=True)
class ClaimStore:
    """Access of the claims to the table service and to other agents."""

    node: Node
    tables: TableService
    peers: PeerCaller

    async def execute(self, action: CommitBatch | ReadRow | QueryOwner) -> StoreReply:
        """Execute an action.

        :param action: the action.
        :return: the reply to be passed to the claims.
        """
        match action:
            case CommitBatch():
                return await self._commit(action)
            case ReadRow():
                return await self._read(action)
            case QueryOwner():
                return await self._query_owner(action)

    async def _commit(self, action: CommitBatch) -> BatchReply:
        self.node.metrics.count(CounterName.claim_transactions)
        try:
            outcome = await self.tables.commit(action.conditions, action.writes)
        except PlatformError as error:
            if error.code in {Code.store_unavailable, Code.store_busy}:
                return BatchFailed(action.batch)
            return BatchOutcomeUnknown(action.batch)
        if isinstance(outcome, CommitSuccess) and len(outcome.versions) != len(action.writes):
            return BatchOutcomeUnknown(action.batch)
        if isinstance(outcome, CommitSuccess):
            self.node.metrics.count(CounterName.claims_committed, by=len(action.writes))
            return BatchCommitted(action.batch, outcome.versions)
        return BatchConflicted(action.batch, outcome.rows)

    async def _read(self, action: ReadRow) -> ReadReply:
        try:
            row = await self.tables.read(TABLE, action.key)
        except PlatformError:
            return ReadFailed(action.claim_id)
        return RowRead(action.claim_id, row)

    async def _query_owner(self, action: QueryOwner) -> OwnerReply:
        not_after_ms = int(action.not_after * MS_PER_S)
        query = Void(
            action.owner_claim_id,
            action.incarnation,
            not_after_ms,
            takeover=True,
            body_digest=bytes.fromhex(action.body_digest),
        )
        try:
            reply = await self.peers.call(action.agent, query)
            return _owner_reply(action, reply)
        except (CassiahitchError, ValueError):
            return OwnerUnreachable(action.claim_id)


def _owner_reply(action: QueryOwner, reply: Message) -> OwnerReply:
    if not isinstance(reply, LedgerState) or reply.incarnation != action.incarnation:
        return OwnerUnreachable(action.claim_id)
    outcome = decode_outcome(reply.answers[0]) if reply.answers else None
    return OwnerReplied(action.claim_id, KeyState(reply.state), outcome)


StoreReply = BatchReply | ReadReply | OwnerReply


__all__ = (
    'ClaimStore',
    'PeerCaller',
)
