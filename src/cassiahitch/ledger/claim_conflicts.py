"""Resolution of claim conflicts: reads the rows of claims and queries their owners."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import PlatformError
from cassiahitch.ledger.api import Failure, KeyState, StateReply, Void
from cassiahitch.ledger.claim_api import (
    OwnerReplied,
    OwnerUnreachable,
    QueryOwner,
    ReadFailed,
    ReadRow,
    RowRead,
)
from cassiahitch.ledger.claim_registry import ClaimStage
from cassiahitch.ledger.rows import parse_row
from cassiahitch.stores.api import ABSENT_VERSION

if TYPE_CHECKING:
    from cassiahitch.ledger.api import Outcome
    from cassiahitch.ledger.claim_api import ClaimAction, OwnerReply, ReadReply
    from cassiahitch.ledger.claim_registry import ClaimRegistry, PendingClaim
    from cassiahitch.ledger.rows import ClaimRow
    from cassiahitch.stores.api import Row


class ConflictResolver:
    """Resolves pending claims whose row must be read or holds another claim of the key."""

    def __init__(self, registry: ClaimRegistry) -> None:
        """Create a resolver for the claims of an agent.

        :param registry: the pending claims.
        """
        self.registry = registry

    def read_row(self, pending: PendingClaim) -> tuple[ClaimAction, ...]:
        """Start a read of the row of a claim's key.

        :param pending: the claim.
        :return: one action.
        """
        pending.retry_at = inf
        if pending.stage != ClaimStage.cleaning:
            pending.stage = ClaimStage.reading
        return (ReadRow(pending.claim.request_id, pending.claim.key),)

    def handle_read_reply(self, reply: ReadReply, now: float) -> tuple[ClaimAction, ...]:
        """Handle the reply to a read of a claim's row.

        A missing row is written again under the same claim identifier. If the lost write is
        still committed later, only one of the two writes can succeed.

        :param reply: the row, or the failure of the read.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        pending = self.registry.by_id.get(reply.claim_id)
        if pending is None or pending.stage not in {ClaimStage.reading, ClaimStage.cleaning}:
            return ()
        match reply:
            case RowRead(row=row) if row is not None:
                return self.handle_row(pending, row, now)
            case _ if pending.stage == ClaimStage.cleaning:
                self.registry.schedule_removal_read(pending, now)
            case RowRead():
                pending.expected_version = ABSENT_VERSION
                self.registry.queue_claim(pending)
            case ReadFailed():
                pending.retry_at = self.registry.next_retry_at(now)
        return ()

    def handle_row(self, pending: PendingClaim, row: Row, now: float) -> tuple[ClaimAction, ...]:
        """Resolve a claim by the row of its key.

        :param pending: the claim.
        :param row: the row, which may hold this or another claim.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        try:
            row_claim = parse_row(row)
        except PlatformError as error:
            return self.registry.resolve(pending, Failure(error.code, HasRun.unknown), now)
        if self.is_own(pending, row_claim):
            return self.registry.confirm_row(pending, row.version, now)
        if pending.stage == ClaimStage.cleaning:
            self.registry.drop(pending)
            return ()
        pending.stage = ClaimStage.asking
        if row_claim.body_digest != pending.claim.body_digest:
            return self.registry.refuse(pending, Failure(Code.key_reused, HasRun.no), now)
        pending.expected_version = row.version
        pending.owner = row_claim
        outcome = row_claim.outcome()
        return (
            self.registry.resolve(pending, outcome, now)
            if outcome
            else self.query_owner(pending, now)
        )

    def is_own(self, pending: PendingClaim, row_claim: ClaimRow) -> bool:
        """Return whether a row holds a claim of this agent in this incarnation.

        :param pending: the claim.
        :param row_claim: the content of the row.
        :return: whether the row holds that claim.
        """
        row_owner = (row_claim.agent, row_claim.incarnation, row_claim.claim_id)
        return row_owner == (
            self.registry.agent,
            self.registry.ledger.incarnation,
            pending.claim.request_id,
        )

    def query_owner(self, pending: PendingClaim, now: float) -> tuple[ClaimAction, ...]:
        """Request that the owner of the row makes its claim void.

        If this agent owns the row, its own ledger handles the request.

        :param pending: the claim; its ``owner`` is the row of the other claim.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        owner = pending.owner
        if owner is None:
            return self.read_row(pending)
        pending.stage = ClaimStage.asking
        pending.retry_at = inf
        pending.failure = Failure(Code.claimed_elsewhere, HasRun.unknown)
        if owner.agent != self.registry.agent:
            owner_claim = (owner.agent, owner.incarnation, owner.claim_id)
            query = QueryOwner(
                pending.claim.request_id, *owner_claim, owner.body_digest, owner.not_after
            )
            return (query,)
        void = Void(
            owner.claim_id, owner.body_digest, owner.not_after, owner.incarnation, takeover=True
        )
        actions = self.registry.ledger.handle(void, now)
        self.registry.sync_row(owner.claim_id, now)
        return flatten([self.handle_own_action(pending, action, now) for action in actions])

    def handle_own_action(
        self,
        pending: PendingClaim,
        action: ClaimAction,
        now: float,
    ) -> tuple[ClaimAction, ...]:
        """Handle the reply of this agent's own ledger to a request to void another claim.

        :param pending: the claim that made the request.
        :param action: an action of the ledger; all but state replies are passed on.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        match action:
            case StateReply(state=state, outcome=outcome):
                return self.handle_owner_state(pending, state, outcome, now)
            case _:
                return (action,)

    def handle_owner_reply(self, reply: OwnerReply, now: float) -> tuple[ClaimAction, ...]:
        """Handle the reply of the agent that owns the row.

        :param reply: the reply, or that the agent could not be reached.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        pending = self.registry.by_id.get(reply.claim_id)
        if pending is None or pending.stage != ClaimStage.asking:
            return ()
        match reply:
            case OwnerReplied(state=state, outcome=outcome):
                return self.handle_owner_state(pending, state, outcome, now)
            case OwnerUnreachable():
                return self.registry.resolve(pending, pending.failure, now)

    def handle_owner_state(
        self,
        pending: PendingClaim,
        state: KeyState,
        outcome: Outcome | None,
        now: float,
    ) -> tuple[ClaimAction, ...]:
        """Handle the state of the other claim of a key.

        A void claim is replaced, a queued or running one is queried again later, and any
        other state ends this claim.

        :param pending: the claim.
        :param state: the state of the other claim.
        :param outcome: the outcome of the other claim, if it is done.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        match state:
            case KeyState.void:
                pending.failure = Failure(Code.deadline_exceeded, HasRun.no)
                self.registry.queue_claim(pending)
            case KeyState.queued | KeyState.running:
                pending.failure = Failure(Code.request_in_progress, HasRun.unknown)
                pending.retry_at = self.registry.next_retry_at(now)
            case _:
                return self.registry.resolve(pending, outcome or pending.failure, now)
        return ()


def flatten(parts: list[tuple[ClaimAction, ...]]) -> tuple[ClaimAction, ...]:
    """Concatenate the actions of several steps.

    :param parts: the actions of each step.
    :return: all actions, in order.
    """
    return tuple(action for part in parts for action in part)


__all__ = (
    'ConflictResolver',
    'flatten',
)
