"""Claims of an agent: a key that its caller chose runs at most once across all agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import (
    Dispatch,
    Enqueue,
    Fail,
    Failure,
    Finish,
    KeyState,
    Void,
)
from cassiahitch.ledger.claim_api import (
    BatchCommitted,
    BatchConflicted,
    BatchFailed,
    BatchOutcomeUnknown,
    Claim,
    ClaimLimits,
    OwnerReplied,
    OwnerUnreachable,
    ReadFailed,
    RowRead,
    Tick,
)
from cassiahitch.ledger.claim_conflicts import ConflictResolver, flatten
from cassiahitch.ledger.claim_registry import ClaimRegistry, ClaimStage, PendingClaim
from cassiahitch.ledger.group_commit import WritePurpose

if TYPE_CHECKING:
    from random import Random

    from cassiahitch.ledger.api import Message
    from cassiahitch.ledger.claim_api import (
        BatchReply,
        ClaimAction,
        ClaimMessage,
    )
    from cassiahitch.ledger.group_commit import ConflictedWrite, RowWrite
    from cassiahitch.ledger.ledger import Ledger


class ClaimCoordinator:
    """Claims keys in the table service before they run and records their outcomes.

    All messages to the ledger of its agent must pass through it. The ledger records a claim as
    queued when it arrives, so that a ``Void`` takes effect also while the row is being written.
    """

    def __init__(
        self,
        agent: str,
        ledger: Ledger,
        rng: Random,
        limits: ClaimLimits | None = None,
    ) -> None:
        """Create a coordinator without claims.

        :param agent: the host of this agent.
        :param ledger: the ledger of this agent.
        :param rng: source of jitter.
        :param limits: limits and intervals.
        """
        self.agent = agent
        self.ledger = ledger
        self.limits = limits or ClaimLimits()
        self.registry = ClaimRegistry(agent, ledger, rng, self.limits)
        self.conflicts = ConflictResolver(self.registry)
        self.commits = self.registry.commits

    def handle(self, message: ClaimMessage, now: float) -> tuple[ClaimAction, ...]:
        """Handle a message and start the next transaction if one is due.

        :param message: the message.
        :param now: seconds of the agent's monotonic clock; must not decrease.
        :return: the actions to perform, in order.
        """
        actions = self.handle_message(message, now)
        commit = self.commits.next_commit(now)
        return actions if commit is None else (*actions, commit)

    def handle_message(self, message: ClaimMessage, now: float) -> tuple[ClaimAction, ...]:
        """Handle a message without starting a transaction.

        :param message: the message.
        :param now: monotonic time in seconds.
        :return: the actions to perform, in order.
        """
        match message:
            case Claim():
                return self.accept(message, now)
            case BatchCommitted() | BatchConflicted() | BatchFailed() | BatchOutcomeUnknown():
                return self.handle_batch_reply(message, now)
            case RowRead() | ReadFailed():
                return self.conflicts.handle_read_reply(message, now)
            case OwnerReplied() | OwnerUnreachable():
                return self.conflicts.handle_owner_reply(message, now)
            case Tick():
                return self.tick(now)
            case _:
                return self.forward_to_ledger(message, now)

    def forward_to_ledger(self, message: Message, now: float) -> tuple[ClaimAction, ...]:
        """Forward a message to the ledger and queue the row write that it requires.

        :param message: the message.
        :param now: monotonic time in seconds.
        :return: the actions to perform, in order.
        """
        actions = self.ledger.handle(message, now)
        if isinstance(message, (Void, Finish, Fail)):
            self.registry.sync_row(message.key, now)
        return actions

    def accept(self, claim: Claim, now: float) -> tuple[ClaimAction, ...]:
        """Accept a request with a caller's key, or join it to a claim of this agent.

        :param claim: the request.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        claim_id = claim.request_id
        same_key = self.ledger.records.find(claim.key)
        dispatch = Dispatch(
            claim_id,
            claim_id,
            claim.body_digest,
            claim.incarnation,
            claim.not_after,
            self.limits.retention_s,
        )
        actions = self.ledger.handle(dispatch, now)
        if actions != (Enqueue(claim_id),):
            return actions
        if same_key is None or same_key.state == KeyState.void:
            self.ledger.records.alias(self.ledger.records.by_key[claim_id], claim.key)
            self.registry.add(claim)
            return ()
        if same_key.body_digest != claim.body_digest:
            return self.ledger.fail(claim_id, Failure(Code.key_reused, HasRun.no), now)
        self.ledger.records.merge(claim_id, same_key)
        return self.ledger.join(same_key.key, claim_id)

    def handle_batch_reply(self, reply: BatchReply, now: float) -> tuple[ClaimAction, ...]:
        """Handle the reply to a transaction.

        :param reply: the reply of the table service.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        row_writes = self.commits.finish(reply.batch)
        match reply:
            case BatchCommitted(versions=versions):
                self.commits.failures = 0
                pairs = zip(row_writes, versions, strict=False)
                parts = [
                    self.handle_written(row_write, version, now) for row_write, version in pairs
                ]
            case BatchConflicted(rows=rows):
                self.commits.failures = 0
                conflicts = self.commits.separate_conflicts(row_writes, rows)
                parts = [self.handle_conflict(conflict, now) for conflict in conflicts]
            case BatchFailed():
                self.commits.next_at = self.registry.next_retry_at(now)
                self.commits.failures += 1
                parts = [self.handle_not_written(row_write, now) for row_write in row_writes]
                parts.append(self.refuse_waiting(now))
            case BatchOutcomeUnknown():
                self.commits.next_at = self.registry.next_retry_at(now)
                parts = [self.handle_unknown_outcome(row_write) for row_write in row_writes]
        return flatten(parts)

    def handle_written(
        self, row_write: RowWrite, version: int, now: float
    ) -> tuple[ClaimAction, ...]:
        """Handle a row write that was committed.

        :param row_write: the write.
        :param version: the new version of the row.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        pending = self.registry.by_id[row_write.claim_id]
        if row_write.purpose == WritePurpose.claim:
            return self.registry.confirm_row(pending, version, now)
        self.registry.drop(pending)
        if row_write.purpose == WritePurpose.record:
            self.registry.mark_outcome_recorded(row_write.claim_id, now)
        return ()

    def handle_conflict(self, conflict: ConflictedWrite, now: float) -> tuple[ClaimAction, ...]:
        """Handle a row write whose expected version did not match.

        :param conflict: the write, and the row if the table service returned it.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        pending = self.registry.by_id[conflict.row_write.claim_id]
        if conflict.row_write.purpose != WritePurpose.claim:
            self.registry.drop(pending)
            return ()
        if conflict.row is None:
            return self.conflicts.read_row(pending)
        return self.conflicts.handle_row(pending, conflict.row, now)

    def handle_not_written(self, row_write: RowWrite, now: float) -> tuple[ClaimAction, ...]:
        """Handle a row write that failed because the table service was unavailable.

        :param row_write: the write.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        pending = self.registry.by_id[row_write.claim_id]
        if pending.stage == ClaimStage.cleaning and row_write.purpose == WritePurpose.claim:
            self.registry.schedule_removal_read(pending, now)
            return ()
        self.commits.add(row_write)
        if row_write.purpose == WritePurpose.claim:
            pending.failure = Failure(Code.claim_store_down, HasRun.no)
        return ()

    def refuse_waiting(self, now: float) -> tuple[ClaimAction, ...]:
        """Refuse all unwritten claims after ``store_attempts`` consecutive failed transactions.

        Claims that arrive later wait for the next transaction, which tries the table service
        again.

        :param now: monotonic time in seconds.
        :return: a refusal for each waiting request.
        """
        if self.commits.failures < self.limits.store_attempts:
            return ()
        failure = Failure(Code.claim_store_down, HasRun.no)
        waiting_claims = [self.registry.by_id[claim_id] for claim_id in self.commits.claims]
        return flatten([self.registry.refuse(pending, failure, now) for pending in waiting_claims])

    def handle_unknown_outcome(self, row_write: RowWrite) -> tuple[ClaimAction, ...]:
        """Handle a row write whose reply was lost: read the row of a claim, repeat others.

        :param row_write: the write.
        :return: the actions to perform.
        """
        pending = self.registry.by_id[row_write.claim_id]
        if row_write.purpose != WritePurpose.claim:
            self.commits.add(row_write)
            return ()
        pending.outcome_unknown = True
        pending.failure = Failure(Code.claim_unclear, HasRun.no)
        return self.conflicts.read_row(pending)

    def tick(self, now: float) -> tuple[ClaimAction, ...]:
        """Refuse claims whose deadline has passed and retry failed steps.

        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        pending = tuple(self.registry.by_id.values())
        return flatten([self.tick_claim(claim, now) for claim in pending])

    def tick_claim(self, pending: PendingClaim, now: float) -> tuple[ClaimAction, ...]:
        """Refuse a claim whose deadline has passed, or retry its failed step.

        :param pending: the claim.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        late = now >= pending.claim.deadline - self.limits.deadline_margin_s
        match pending.stage:
            case ClaimStage.committing | ClaimStage.reading if late:
                return self.registry.refuse(pending, pending.failure, now)
            case ClaimStage.asking if late:
                return self.registry.resolve(pending, pending.failure, now)
            case ClaimStage.asking if now >= pending.retry_at:
                return self.conflicts.query_owner(pending, now)
            case ClaimStage.reading | ClaimStage.cleaning if now >= pending.retry_at:
                return self.conflicts.read_row(pending)
            case _:
                return ()


__all__ = ('ClaimCoordinator',)
