"""Carries out what the claims of an agent ask of the table service and of other agents."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError, PlatformError
from cassiahitch.ledger.api import State
from cassiahitch.ledger.claim_api import (
    AskOwner,
    BatchCommitted,
    BatchConflicted,
    BatchFailed,
    BatchReply,
    BatchUnclear,
    Commit,
    OwnerReplied,
    OwnerReply,
    OwnerSilent,
    ReadFailed,
    ReadReply,
    ReadRow,
    RowRead,
)
from cassiahitch.ledger.rows import TABLE
from cassiahitch.metrics.names import CounterName
from cassiahitch.stores.api import Committed
from cassiahitch.wire.answers import decode_outcome
from cassiahitch.wire.messages import LedgerState, Void

if TYPE_CHECKING:
    from cassiahitch.stores.api import TableService
    from cassiahitch.wire.messages import Message
    from cassiahitch.wire.node import Node

MS_PER_S = 1000


class Peers(Protocol):
    """Calls other agents."""

    async def call(self, host: str, message: Message) -> Message:
        """Send a message to a host and return its reply; raises if it cannot be reached."""


@dataclass(frozen=True, slots=True)
class ClaimStore:
    """Table service and other agents, as the claims use them."""

    node: Node
    tables: TableService
    peers: Peers

    async def carry_out(self, action: Commit | ReadRow | AskOwner) -> Reply:
        """Carry out an action.

        :param action: the action.
        :return: the message that answers it.
        """
        match action:
            case Commit():
                return await self._commit(action)
            case ReadRow():
                return await self._read(action)
            case AskOwner():
                return await self._ask(action)

    async def _commit(self, action: Commit) -> BatchReply:
        self.node.metrics.count(CounterName.claim_transactions)
        try:
            outcome = await self.tables.commit(action.conditions, action.writes)
        except PlatformError as error:
            if error.code in {Code.store_unavailable, Code.store_busy}:
                return BatchFailed(action.batch)
            return BatchUnclear(action.batch)
        if isinstance(outcome, Committed) and len(outcome.versions) != len(action.writes):
            return BatchUnclear(action.batch)
        if isinstance(outcome, Committed):
            self.node.metrics.count(CounterName.claims_committed, by=len(action.writes))
            return BatchCommitted(action.batch, outcome.versions)
        return BatchConflicted(action.batch, outcome.rows)

    async def _read(self, action: ReadRow) -> ReadReply:
        try:
            row = await self.tables.read(TABLE, action.key)
        except PlatformError:
            return ReadFailed(action.claim_id)
        return RowRead(action.claim_id, row)

    async def _ask(self, action: AskOwner) -> OwnerReply:
        not_after_ms = int(action.not_after * MS_PER_S)
        question = Void(
            action.owner_claim_id,
            action.incarnation,
            not_after_ms,
            takeover=True,
            body_digest=bytes.fromhex(action.body_digest),
        )
        try:
            reply = await self.peers.call(action.agent, question)
            return _owner_reply(action, reply)
        except (CassiahitchError, ValueError):
            return OwnerSilent(action.claim_id)


def _owner_reply(action: AskOwner, reply: Message) -> OwnerReply:
    if not isinstance(reply, LedgerState) or reply.incarnation != action.incarnation:
        return OwnerSilent(action.claim_id)
    outcome = decode_outcome(reply.answers[0]) if reply.answers else None
    return OwnerReplied(action.claim_id, State(reply.state), outcome)


Reply = BatchReply | ReadReply | OwnerReply


__all__ = (
    'ClaimStore',
    'Peers',
)
