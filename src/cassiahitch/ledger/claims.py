"""Claims of an agent: a key that its caller chose runs at most once over all agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import (
    Dispatch,
    Fail,
    Failure,
    Finish,
    Run,
    State,
    Void,
)
from cassiahitch.ledger.claim_api import (
    BatchCommitted,
    BatchConflicted,
    BatchFailed,
    BatchUnclear,
    Claim,
    ClaimLimits,
    OwnerReplied,
    OwnerSilent,
    ReadFailed,
    RowRead,
    Tick,
)
from cassiahitch.ledger.claim_book import ClaimBook, Pending, Stage
from cassiahitch.ledger.claim_conflicts import ClaimConflicts, joined
from cassiahitch.ledger.commits import Purpose

if TYPE_CHECKING:
    from random import Random

    from cassiahitch.ledger.api import Message
    from cassiahitch.ledger.claim_api import (
        BatchReply,
        ClaimAction,
        ClaimMessage,
    )
    from cassiahitch.ledger.commits import Member, Suspect
    from cassiahitch.ledger.ledger import Ledger


class ClaimMachine:
    """Claims keys in the table service before they run, and records their outcomes.

    It is the one door to the ledger of its agent: messages of the ledger pass through it.
    The ledger holds a claim as queued from its arrival, so a ``Void`` that arrives while the
    claim is being committed wins.
    """

    def __init__(
        self,
        agent: str,
        ledger: Ledger,
        rng: Random,
        limits: ClaimLimits | None = None,
    ) -> None:
        """Create it without claims.

        :param agent: the host of this agent.
        :param ledger: its ledger.
        :param rng: source of jitter.
        :param limits: its bounds.
        """
        self.agent = agent
        self.ledger = ledger
        self.limits = limits or ClaimLimits()
        self.book = ClaimBook(agent, ledger, rng, self.limits)
        self.conflicts = ClaimConflicts(self.book)
        self.commits = self.book.commits

    def handle(self, message: ClaimMessage, now: float) -> tuple[ClaimAction, ...]:
        """Take in a message.

        :param message: the message.
        :param now: seconds of the agent's monotonic clock; never goes back.
        :return: what to do, in order.
        """
        actions = self.react(message, now)
        commit = self.commits.take(now)
        return actions if commit is None else (*actions, commit)

    def react(self, message: ClaimMessage, now: float) -> tuple[ClaimAction, ...]:
        """Take in a message, without starting a transaction.

        :param message: the message.
        :param now: seconds.
        :return: what to do, in order.
        """
        match message:
            case Claim():
                return self.accept(message, now)
            case BatchCommitted() | BatchConflicted() | BatchFailed() | BatchUnclear():
                return self.end_batch(message, now)
            case RowRead() | ReadFailed():
                return self.conflicts.end_read(message, now)
            case OwnerReplied() | OwnerSilent():
                return self.conflicts.end_question(message, now)
            case Tick():
                return self.tick(now)
            case _:
                return self.pass_on(message, now)

    def pass_on(self, message: Message, now: float) -> tuple[ClaimAction, ...]:
        """Pass a message to the ledger and bring its claim's row up to date.

        :param message: the message.
        :param now: seconds.
        :return: what to do, in order.
        """
        actions = self.ledger.handle(message, now)
        if isinstance(message, (Void, Finish, Fail)):
            self.book.follow(message.key, now)
        return actions

    def accept(self, claim: Claim, now: float) -> tuple[ClaimAction, ...]:
        """Take in a request under a caller's key.

        :param claim: the request.
        :param now: seconds.
        :return: what to do.
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
        if actions != (Run(claim_id),):
            return actions
        if same_key is None or same_key.state == State.void:
            self.ledger.records.alias(self.ledger.records.by_key[claim_id], claim.key)
            self.book.begin(claim)
            return ()
        if same_key.body_digest != claim.body_digest:
            return self.ledger.fail(claim_id, Failure(Code.key_reused, HasRun.no), now)
        self.ledger.records.merge(claim_id, same_key)
        return self.ledger.join(same_key.key, claim_id)

    def end_batch(self, reply: BatchReply, now: float) -> tuple[ClaimAction, ...]:
        """Take in what came of a transaction.

        :param reply: the reply of the store.
        :param now: seconds.
        :return: what to do.
        """
        members = self.commits.finish(reply.batch)
        match reply:
            case BatchCommitted(versions=versions):
                self.commits.failures = 0
                pairs = zip(members, versions, strict=False)
                parts = [self.written(member, version, now) for member, version in pairs]
            case BatchConflicted(rows=rows):
                self.commits.failures = 0
                suspects = self.commits.split(members, rows)
                parts = [self.conflicted(suspect, now) for suspect in suspects]
            case BatchFailed():
                self.commits.next_at = self.book.retry_at(now)
                self.commits.failures += 1
                parts = [self.unwritten(member, now) for member in members]
                parts.append(self.refuse_waiting(now))
            case BatchUnclear():
                self.commits.next_at = self.book.retry_at(now)
                parts = [self.unclear(member) for member in members]
        return joined(parts)

    def written(self, member: Member, version: int, now: float) -> tuple[ClaimAction, ...]:
        """Take in that a row was written.

        :param member: the write.
        :param version: the row's version.
        :param now: seconds.
        :return: what to do.
        """
        pending = self.book.by_id[member.claim_id]
        if member.purpose == Purpose.claim:
            return self.book.own(pending, version, now)
        self.book.forget(pending)
        if member.purpose == Purpose.record:
            self.book.recorded(member.claim_id, now)
        return ()

    def conflicted(self, suspect: Suspect, now: float) -> tuple[ClaimAction, ...]:
        """Take in that a row did not have the version that a write needs.

        :param suspect: the write, and the row if the store named it.
        :param now: seconds.
        :return: what to do.
        """
        pending = self.book.by_id[suspect.member.claim_id]
        if suspect.member.purpose != Purpose.claim:
            self.book.forget(pending)
            return ()
        if suspect.row is None:
            return self.conflicts.read(pending)
        return self.conflicts.found(pending, suspect.row, now)

    def unwritten(self, member: Member, now: float) -> tuple[ClaimAction, ...]:
        """Take in that the store was unavailable for a write.

        :param member: the write.
        :param now: seconds.
        :return: what to do.
        """
        pending = self.book.by_id[member.claim_id]
        if pending.stage == Stage.cleaning and member.purpose == Purpose.claim:
            self.book.clean_later(pending, now)
            return ()
        self.commits.add(member)
        if member.purpose == Purpose.claim:
            pending.failure = Failure(Code.claim_store_down, HasRun.no)
        return ()

    def refuse_waiting(self, now: float) -> tuple[ClaimAction, ...]:
        """Refuse all claims that wait to be written once the store has failed too often.

        Those that arrive later wait for the next transaction, which tries the store again.

        :param now: seconds.
        :return: a refusal for each request that waits.
        """
        if self.commits.failures < self.limits.store_attempts:
            return ()
        failure = Failure(Code.claim_store_down, HasRun.no)
        waiting = [self.book.by_id[claim_id] for claim_id in self.commits.claims]
        return joined([self.book.refuse(pending, failure, now) for pending in waiting])

    def unclear(self, member: Member) -> tuple[ClaimAction, ...]:
        """Take in that the answer to a write was lost: read a claim's row back.

        :param member: the write.
        :return: what to do.
        """
        pending = self.book.by_id[member.claim_id]
        if member.purpose != Purpose.claim:
            self.commits.add(member)
            return ()
        pending.unclear = True
        pending.failure = Failure(Code.claim_unclear, HasRun.no)
        return self.conflicts.read(pending)

    def tick(self, now: float) -> tuple[ClaimAction, ...]:
        """Refuse claims whose deadline has passed and try failed steps again.

        :param now: seconds.
        :return: what to do.
        """
        pending = tuple(self.book.by_id.values())
        return joined([self.tick_one(one, now) for one in pending])

    def tick_one(self, pending: Pending, now: float) -> tuple[ClaimAction, ...]:
        """Refuse a claim whose deadline has passed, or try its failed step again.

        :param pending: the claim.
        :param now: seconds.
        :return: what to do.
        """
        late = now >= pending.claim.deadline - self.limits.margin_s
        match pending.stage:
            case Stage.committing | Stage.reading if late:
                return self.book.refuse(pending, pending.failure, now)
            case Stage.asking if late:
                return self.book.settle(pending, pending.failure, now)
            case Stage.asking if now >= pending.retry_at:
                return self.conflicts.ask(pending, now)
            case Stage.reading | Stage.cleaning if now >= pending.retry_at:
                return self.conflicts.read(pending)
            case _:
                return ()


__all__ = ('ClaimMachine',)
