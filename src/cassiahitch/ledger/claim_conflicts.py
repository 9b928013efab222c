"""Claims that may meet another claim of their key: reads their rows and asks the holders."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, Ran
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
from cassiahitch.stores.api import ABSENT

if TYPE_CHECKING:
    from cassiahitch.ledger.api import Outcome
    from cassiahitch.ledger.claim_api import ClaimAction, OwnerReply, ReadReply
    from cassiahitch.ledger.claim_registry import ClaimRegistry, PendingClaim
    from cassiahitch.ledger.rows import ClaimRow
    from cassiahitch.stores.api import Row


class ConflictResolver:
    """Settles claims whose row is unclear or holds another claim."""

    def __init__(self, registry: ClaimRegistry) -> None:
        """Create it for the claims of an agent.

        :param registry: the claims.
        """
        self.registry = registry

    def read_row(self, pending: PendingClaim) -> tuple[ClaimAction, ...]:
        """Read the row of a claim's key.

        :param pending: the claim.
        :return: one action.
        """
        pending.retry_at = inf
        if pending.stage != ClaimStage.cleaning:
            pending.stage = ClaimStage.reading
        return (ReadRow(pending.claim.request_id, pending.claim.key),)

    def handle_read_reply(self, reply: ReadReply, now: float) -> tuple[ClaimAction, ...]:
        """Take in the row of a claim's key.

        A missing row is written again under the same claim identifier: if the lost write
        takes effect after all, only one of the two can.

        :param reply: the row, or that it could not be read.
        :param now: seconds.
        :return: what to do.
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
                pending.expected_version = ABSENT
                self.registry.queue_claim(pending)
            case ReadFailed():
                pending.retry_at = self.registry.next_retry_at(now)
        return ()

    def handle_row(self, pending: PendingClaim, row: Row, now: float) -> tuple[ClaimAction, ...]:
        """Take in the row of a claim's key.

        :param pending: the claim.
        :param row: the row.
        :param now: seconds.
        :return: what to do.
        """
        try:
            row_claim = parse_row(row)
        except PlatformError as error:
            return self.registry.resolve(pending, Failure(error.code, Ran.unknown), now)
        if self.is_own(pending, row_claim):
            return self.registry.confirm_row(pending, row.version, now)
        if pending.stage == ClaimStage.cleaning:
            self.registry.drop(pending)
            return ()
        pending.stage = ClaimStage.asking
        if row_claim.body_digest != pending.claim.body_digest:
            return self.registry.refuse(pending, Failure(Code.key_reused, Ran.no), now)
        pending.expected_version = row.version
        pending.owner = row_claim
        outcome = row_claim.outcome()
        return (
            self.registry.resolve(pending, outcome, now)
            if outcome
            else self.query_owner(pending, now)
        )

    def is_own(self, pending: PendingClaim, row_claim: ClaimRow) -> bool:
        """Whether a row holds a claim of this agent in this incarnation.

        :param pending: the claim.
        :param row_claim: the row.
        :return: whether it holds that claim.
        """
        holder = (row_claim.agent, row_claim.incarnation, row_claim.claim_id)
        return holder == (
            self.registry.agent,
            self.registry.ledger.incarnation,
            pending.claim.request_id,
        )

    def query_owner(self, pending: PendingClaim, now: float) -> tuple[ClaimAction, ...]:
        """Ask for the other claim of a key to be made void.

        :param pending: the claim; its ``owner`` is the row of the other one.
        :param now: seconds.
        :return: what to do.
        """
        owner = pending.owner
        if owner is None:
            return self.read_row(pending)
        pending.stage = ClaimStage.asking
        pending.retry_at = inf
        pending.failure = Failure(Code.claimed_elsewhere, Ran.unknown)
        if owner.agent != self.registry.agent:
            holder = (owner.agent, owner.incarnation, owner.claim_id)
            query = QueryOwner(
                pending.claim.request_id, *holder, owner.body_digest, owner.not_after
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
        """Take in what this agent itself says of another claim of a key.

        :param pending: the claim that asked.
        :param action: an action of the ledger.
        :param now: seconds.
        :return: what to do.
        """
        match action:
            case StateReply(state=state, outcome=outcome):
                return self.handle_owner_state(pending, state, outcome, now)
            case _:
                return (action,)

    def handle_owner_reply(self, reply: OwnerReply, now: float) -> tuple[ClaimAction, ...]:
        """Take in what the agent that holds the row said.

        :param reply: its reply, or that there was none.
        :param now: seconds.
        :return: what to do.
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
        """Take in the state of the other claim of a key.

        :param pending: the claim.
        :param state: the state of the other claim.
        :param outcome: its outcome, if it is done.
        :param now: seconds.
        :return: what to do.
        """
        match state:
            case KeyState.void:
                pending.failure = Failure(Code.deadline_exceeded, Ran.no)
                self.registry.queue_claim(pending)
            case KeyState.queued | KeyState.running:
                pending.failure = Failure(Code.request_in_progress, Ran.unknown)
                pending.retry_at = self.registry.next_retry_at(now)
            case _:
                return self.registry.resolve(pending, outcome or pending.failure, now)
        return ()


def flatten(parts: list[tuple[ClaimAction, ...]]) -> tuple[ClaimAction, ...]:
    """Return the actions of several steps in one tuple.

    :param parts: the actions of each step.
    :return: all actions, in order.
    """
    return tuple(action for part in parts for action in part)


__all__ = (
    'ConflictResolver',
    'flatten',
)
