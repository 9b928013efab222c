"""Claims on their way: the writes of their rows and their ends."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import Failure, Run, State
from cassiahitch.ledger.commits import GroupCommit, Member, Purpose
from cassiahitch.ledger.rows import ClaimRow, is_inline
from cassiahitch.stores.api import ABSENT

if TYPE_CHECKING:
    from random import Random

    from cassiahitch.ledger.api import Outcome
    from cassiahitch.ledger.claim_api import Claim, ClaimAction, ClaimLimits
    from cassiahitch.ledger.ledger import Ledger


class Stage(StrEnum):
    """How far a claim has come."""

    committing = 'committing'
    reading = 'reading'
    asking = 'asking'
    held = 'held'
    recording = 'recording'
    cleaning = 'cleaning'


@dataclass(slots=True)
class Pending:
    """A claim on its way.

    ``expected`` is the version of the row that it replaces, ``version`` that of its own row,
    ``owner`` the other claim that it found, and ``code`` what the caller is told if the
    deadline passes.
    """

    claim: Claim
    stage: Stage = Stage.committing
    expected: int = ABSENT
    version: int = ABSENT
    attempts: int = 0
    retry_at: float = inf
    unclear: bool = False
    owner: ClaimRow | None = None
    failure: Failure = Failure(Code.deadline_exceeded, HasRun.no)


class ClaimBook:
    """The claims of an agent whose rows are not yet what they shall be."""

    def __init__(self, agent: str, ledger: Ledger, rng: Random, limits: ClaimLimits) -> None:
        """Create it without claims.

        :param agent: the host of this agent.
        :param ledger: its ledger.
        :param rng: source of jitter.
        :param limits: its bounds.
        """
        self.agent = agent
        self.ledger = ledger
        self.rng = rng
        self.limits = limits
        self.commits = GroupCommit(limits)
        self.by_id: dict[str, Pending] = {}

    def begin(self, claim: Claim) -> None:
        """Queue the write of a new claim's row.

        :param claim: the claim.
        """
        pending = Pending(claim)
        self.by_id[claim.request_id] = pending
        self.write(pending)

    def write(self, pending: Pending) -> None:
        """Queue the write of a claim's row.

        :param pending: the claim.
        """
        pending.stage = Stage.committing
        content = self.row_of(pending.claim).encode()
        self.commits.add(self.member(pending, Purpose.claim, pending.expected, content))

    def row_of(self, claim: Claim) -> ClaimRow:
        """Return the row of a claim of this agent.

        :param claim: the claim.
        :return: its row.
        """
        return ClaimRow(
            key=claim.key,
            organisation=claim.organisation,
            body_digest=claim.body_digest,
            agent=self.agent,
            incarnation=self.ledger.incarnation,
            claim_id=claim.request_id,
            not_after=claim.not_after,
            created=claim.created,
        )

    def member(
        self,
        pending: Pending,
        purpose: Purpose,
        expected: int,
        content: bytes | None,
    ) -> Member:
        """Return a row write of a claim.

        :param pending: the claim.
        :param purpose: why it is written.
        :param expected: the version that the row must have.
        :param content: the row, or nothing to remove it.
        :return: the member of a batch.
        """
        claim = pending.claim
        return Member(claim.request_id, purpose, claim.key, expected, content)

    def record(self, pending: Pending, outcome: Outcome) -> None:
        """Queue the write of an outcome to a claim's row.

        :param pending: the claim.
        :param outcome: its outcome.
        """
        pending.stage = Stage.recording
        content = self.row_of(pending.claim).done(outcome).encode()
        self.commits.add(self.member(pending, Purpose.record, pending.version, content))

    def remove(self, pending: Pending) -> None:
        """Queue the removal of a void claim's row.

        :param pending: the claim.
        """
        self.commits.add(self.member(pending, Purpose.remove, pending.version, None))

    def own(self, pending: Pending, version: int, now: float) -> tuple[ClaimAction, ...]:
        """Take in that the row holds a claim: run it, unless it is void or too late.

        :param pending: the claim.
        :param version: the row's version.
        :param now: seconds.
        :return: what to do.
        """
        pending.version = version
        if pending.stage == Stage.cleaning:
            self.remove(pending)
            return ()
        pending.stage = Stage.held
        if now >= pending.claim.deadline:
            return self.refuse(pending, Failure(Code.deadline_exceeded, HasRun.no), now)
        return (Run(pending.claim.request_id),)

    def refuse(self, pending: Pending, failure: Failure, now: float) -> tuple[ClaimAction, ...]:
        """Make a claim void and tell its callers that it did not run.

        :param pending: the claim.
        :param failure: what they are told.
        :param now: seconds.
        :return: a refusal for each request that waits.
        """
        refusals = self.ledger.fail(pending.claim.request_id, failure, now)
        self.follow(pending.claim.request_id, now)
        return refusals

    def settle(self, pending: Pending, outcome: Outcome, now: float) -> tuple[ClaimAction, ...]:
        """End a claim that did not run here with what is known of its key.

        A failure is not replayed: the next request under the key looks again.

        :param pending: the claim.
        :param outcome: what its callers are told.
        :param now: seconds.
        :return: an answer for each request that waits.
        """
        record = self.ledger.records.by_key[pending.claim.request_id]
        if isinstance(outcome, Failure):
            self.ledger.records.unalias(record, pending.claim.key)
        self.forget(pending)
        actions = self.ledger.settle(record.key, outcome, now)
        self.ledger.records.shorten(record.key, now)
        return actions

    def recorded(self, key: str, now: float) -> None:
        """Take in that a claim's outcome is on its row.

        :param key: the claim.
        :param now: seconds.
        """
        record = self.ledger.records.by_key.get(key)
        if record is not None and is_inline(record.outcome):
            self.ledger.records.shorten(key, now)

    def follow(self, key: str, now: float) -> None:
        """Bring the row of a claim up to date with the ledger.

        :param key: the claim, or any other key.
        :param now: seconds.
        """
        pending = self.by_id.get(key)
        record = self.ledger.records.by_key.get(key)
        if pending is None or record is None:
            return
        if record.state == State.void:
            self.clean(pending, now)
        elif record.outcome is not None and pending.stage == Stage.held:
            self.record(pending, record.outcome)

    def clean(self, pending: Pending, now: float) -> None:
        """Begin to remove the row of a void claim.

        A write or read under way goes on; its reply tells what there is to remove.

        :param pending: the claim.
        :param now: seconds.
        """
        stage = pending.stage
        pending.stage = Stage.cleaning
        pending.attempts = 0
        if stage == Stage.held:
            self.remove(pending)
            return
        dropped = self.commits.discard(pending.claim.request_id)
        if dropped or stage == Stage.asking:
            self.clean_later(pending, now)

    def clean_later(self, pending: Pending, now: float) -> None:
        """Read the row of a void claim after a while, if it may still be written.

        :param pending: the claim.
        :param now: seconds.
        """
        pending.attempts += 1
        pending.retry_at = self.retry_at(now)
        if not pending.unclear or pending.attempts > self.limits.clean_attempts:
            self.forget(pending)

    def forget(self, pending: Pending) -> None:
        """Drop a claim of which nothing is left to write.

        :param pending: the claim.
        """
        self.by_id.pop(pending.claim.request_id, None)

    def retry_at(self, now: float) -> float:
        """Return when a failed step is tried again.

        :param now: seconds.
        :return: seconds.
        """
        return now + self.limits.retry_s * (1 + self.rng.random())


__all__ = (
    'ClaimBook',
    'Pending',
    'Stage',
)
