"""The gossip simulation with entries that exchange evidence on segments."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from judged_calls import make_call, make_engine
from member_wire import GossipSimulation

from cassiahitch.direct.placement.segmentguard import Refused, SegmentGuard
from cassiahitch.direct.placement.segmentsharing import SegmentSharing
from cassiahitch.wire.datagrammessages import MemberNews

#: The segment that crashes engines.
SEGMENT = 'x'


@dataclass
class SegmentGossip(GossipSimulation):
    """Entries with a guard each, by address."""

    sharings: dict[str, SegmentSharing] = field(default_factory=dict)

    def add(self, number: int) -> str:
        """Create an entry with a guard."""
        address = super().add(number)
        sharing = SegmentSharing(SegmentGuard())
        self.sharings[address] = sharing
        gossip = self.members[address]
        gossip.piggyback.segment_crashes = sharing.crash_records
        gossip.piggyback.sound_segments = sharing.sound_records
        sharing.guard.on_change = partial(self.push_evidence, address)
        return address

    def push_evidence(self, address: str, *, local: bool) -> None:
        """Push changed evidence as an entry does."""
        self.members[address].request_push(local=local)
        self.schedule_push(address)

    def deliver(self, address: str, message: MemberNews, sender: str) -> None:
        """Deliver a datagram, and merge its evidence."""
        super().deliver(address, message, sender)
        if address not in self.down and address not in self.frozen:
            self.sharings[address].merge(message.segment_crashes, message.sound_segments, self.now)

    def crash(self, address: str, replica: str, *segments: str) -> None:
        """Let an entry observe a crash beside which it had a request in flight."""
        guard = self.sharings[address].guard
        guard.record_crash(make_engine(replica), [make_call(*segments)], self.now)

    def begin(self, address: str, *segments: str) -> None:
        """Let a request begin at an entry."""
        self.sharings[address].guard.record_begin(make_call(*segments), self.now)

    def refusing(self) -> int:
        """Return how many entries refuse requests with the segment."""
        return sum(
            isinstance(sharing.guard.verdict(make_call(SEGMENT)), Refused)
            for sharing in self.sharings.values()
        )

    def all_refuse(self) -> bool:
        """Return whether all entries refuse requests with the segment."""
        return self.refusing() == len(self.sharings)


__all__ = (
    'SEGMENT',
    'SegmentGossip',
)
