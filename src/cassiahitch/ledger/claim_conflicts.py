"""Claims that may meet another claim of their key: reads their rows and asks the holders."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import PlatformError
from cassiahitch.ledger.api import Failure, State, StateReply, Void
from cassiahitch.ledger.claim_api import (
    AskOwner,
    OwnerReplied,
    OwnerSilent,
    ReadFailed,
    ReadRow,
    RowRead,
)
from cassiahitch.ledger.claim_book import Stage
from cassiahitch.ledger.rows import parse_row
from cassiahitch.stores.api import ABSENT

if TYPE_CHECKING:
    from cassiahitch.ledger.api import Outcome
    from cassiahitch.ledger.claim_api import ClaimAction, OwnerReply, ReadReply
    from cassiahitch.ledger.claim_book import ClaimBook, Pending
    from cassiahitch.ledger.rows import ClaimRow
    from cassiahitch.stores.api import Row


class ClaimConflicts:
    """Settles claims whose row is unclear or holds another claim."""

    def __init__(self, book: ClaimBook) -> None:
        """Create it for the claims of an agent.

        :param book: the claims.
        """
        self.book = book

    def read(self, pending: Pending) -> tuple[ClaimAction, ...]:
        """Read the row of a claim's key.

        :param pending: the claim.
        :return: one action.
        """
        pending.retry_at = inf
        if pending.stage != Stage.cleaning:
            pending.stage = Stage.reading
        return (ReadRow(pending.claim.request_id, pending.claim.key),)

    def end_read(self, reply: ReadReply, now: float) -> tuple[ClaimAction, ...]:
        """Take in the row of a claim's key.

        A missing row is written again under the same claim identifier: if the lost write
        takes effect after all, only one of the two can.

        :param reply: the row, or that it could not be read.
        :param now: seconds.
        :return: what to do.
        """
        pending = self.book.by_id.get(reply.claim_id)
        if pending is None or pending.stage not in {Stage.reading, Stage.cleaning}:
            return ()
        match reply:
            case RowRead(row=row) if row is not None:
                return self.found(pending, row, now)
            case _ if pending.stage == Stage.cleaning:
                self.book.clean_later(pending, now)
            case RowRead():
                pending.expected = ABSENT
                self.book.write(pending)
            case ReadFailed():
                pending.retry_at = self.book.retry_at(now)
        return ()

    def found(self, pending: Pending, row: Row, now: float) -> tuple[ClaimAction, ...]:
        """Take in the row of a claim's key.

        :param pending: the claim.
        :param row: the row.
        :param now: seconds.
        :return: what to do.
        """
        try:
            claimed = parse_row(row)
        except PlatformError as error:
            return self.book.settle(pending, Failure(error.code, HasRun.unknown), now)
        if self.is_own(pending, claimed):
            return self.book.own(pending, row.version, now)
        if pending.stage == Stage.cleaning:
            self.book.forget(pending)
            return ()
        pending.stage = Stage.asking
        if claimed.body_digest != pending.claim.body_digest:
            return self.book.refuse(pending, Failure(Code.key_reused, HasRun.no), now)
        pending.expected = row.version
        pending.owner = claimed
        outcome = claimed.outcome()
        return self.book.settle(pending, outcome, now) if outcome else self.ask(pending, now)

    def is_own(self, pending: Pending, claimed: ClaimRow) -> bool:
        """Whether a row holds a claim of this agent in this incarnation.

        :param pending: the claim.
        :param claimed: the row.
        :return: whether it holds that claim.
        """
        holder = (claimed.agent, claimed.incarnation, claimed.claim_id)
        return holder == (self.book.agent, self.book.ledger.incarnation, pending.claim.request_id)

    def ask(self, pending: Pending, now: float) -> tuple[ClaimAction, ...]:
        """Ask for the other claim of a key to be made void.

        :param pending: the claim; its ``owner`` is the row of the other one.
        :param now: seconds.
        :return: what to do.
        """
        owner = pending.owner
        if owner is None:
            return self.read(pending)
        pending.stage = Stage.asking
        pending.retry_at = inf
        pending.failure = Failure(Code.claimed_elsewhere, HasRun.unknown)
        if owner.agent != self.book.agent:
            holder = (owner.agent, owner.incarnation, owner.claim_id)
            question = AskOwner(
                pending.claim.request_id, *holder, owner.body_digest, owner.not_after
            )
            return (question,)
        void = Void(
            owner.claim_id, owner.body_digest, owner.not_after, owner.incarnation, takeover=True
        )
        actions = self.book.ledger.handle(void, now)
        self.book.follow(owner.claim_id, now)
        return joined([self.own_reply(pending, action, now) for action in actions])

    def own_reply(
        self,
        pending: Pending,
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
                return self.owner_state(pending, state, outcome, now)
            case _:
                return (action,)

    def end_question(self, reply: OwnerReply, now: float) -> tuple[ClaimAction, ...]:
        """Take in what the agent that holds the row said.

        :param reply: its reply, or that there was none.
        :param now: seconds.
        :return: what to do.
        """
        pending = self.book.by_id.get(reply.claim_id)
        if pending is None or pending.stage != Stage.asking:
            return ()
        match reply:
            case OwnerReplied(state=state, outcome=outcome):
                return self.owner_state(pending, state, outcome, now)
            case OwnerSilent():
                return self.book.settle(pending, pending.failure, now)

    def owner_state(
        self,
        pending: Pending,
        state: State,
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
            case State.void:
                pending.failure = Failure(Code.deadline_exceeded, HasRun.no)
                self.book.write(pending)
            case State.queued | State.running:
                pending.failure = Failure(Code.request_in_progress, HasRun.unknown)
                pending.retry_at = self.book.retry_at(now)
            case _:
                return self.book.settle(pending, outcome or pending.failure, now)
        return ()


def joined(parts: list[tuple[ClaimAction, ...]]) -> tuple[ClaimAction, ...]:
    """Return the actions of several steps in one tuple.

    :param parts: the actions of each step.
    :return: all actions, in order.
    """
    return tuple(action for part in parts for action in part)


__all__ = (
    'ClaimConflicts',
    'joined',
)
