"""Outgoing messages of the gossip protocol, its probes, and the records that it carries."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.wire.datagrammessages import (
        LimitRecord,
        MemberNews,
        SegmentCrashRecord,
        SegmentRecord,
        SuspectRecord,
        VersionRecord,
    )


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message and its destination address."""

    message: MemberNews
    address: str


@dataclass(slots=True)
class Probe:
    """A probe whose reply is outstanding; ``sent_at`` is in seconds."""

    name: str
    address: str
    sent_at: float
    indirect_requested: bool = False


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe on behalf of another entry.

    The reply is forwarded to ``requester`` under the ``number`` of its request; ``sent_at`` is in
    seconds.
    """

    number: int
    requester: str
    sent_at: float


@dataclass(slots=True)
class Piggyback:
    """Sources of the records that messages carry in addition, as of a time in seconds."""

    suspects: Callable[[float], tuple[SuspectRecord, ...]] = lambda _: ()
    versions: Callable[[float], tuple[VersionRecord, ...]] = lambda _: ()
    limits: Callable[[float], tuple[LimitRecord, ...]] = lambda _: ()
    segment_crashes: Callable[[float], tuple[SegmentCrashRecord, ...]] = lambda _: ()
    sound_segments: Callable[[float], tuple[SegmentRecord, ...]] = lambda _: ()


__all__ = (
    'IndirectProbe',
    'OutgoingMessage',
    'Piggyback',
    'Probe',
)
