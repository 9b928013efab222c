"""Messages and actions of the distribution of chunks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.codes import Code
    from cassiahitch.weights.manifest import Manifest
    from cassiahitch.weights.plan import RolloutPlan
    from cassiahitch.weights.tree import Source, Tier


@dataclass(frozen=True, slots=True)
class ManifestReceived:
    """A plan and its manifest were read; the fetcher starts, or restarts, with them."""

    plan: RolloutPlan
    manifest: Manifest


@dataclass(frozen=True, slots=True)
class ChunkReceived:
    """A chunk was received from a source; ``verified`` tells whether its digest is right."""

    manifest: str
    index: int
    source: Source
    verified: bool


@dataclass(frozen=True, slots=True)
class ChunkStored:
    """A chunk was written to the staging area."""

    manifest: str
    index: int


@dataclass(frozen=True, slots=True)
class SourceFailed:
    """A fetch ended without a chunk."""

    manifest: str
    index: int
    source: Source
    code: Code


@dataclass(frozen=True, slots=True)
class SourceAlive:
    """A heartbeat or a part of a chunk came from a host."""

    host: str


@dataclass(frozen=True, slots=True)
class OriginChecked:
    """The digest of the manifest that the origin publishes now."""

    manifest: str
    published_digest: str


@dataclass(frozen=True, slots=True)
class ParticipantLost:
    """A host died or left."""

    host: str


@dataclass(frozen=True, slots=True)
class ParticipantRestored:
    """A host that was gone is live again."""

    host: str


@dataclass(frozen=True, slots=True)
class StagingFull:
    """A chunk could not be written to the staging area."""

    manifest: str
    index: int


@dataclass(frozen=True, slots=True)
class RolloutCancelled:
    """A newer version replaces the rollout."""

    manifest: str


@dataclass(frozen=True, slots=True)
class Tick:
    """The time that a :class:`ScheduleTick` asked for has come."""


FetchMessage = (
    ManifestReceived
    | ChunkReceived
    | ChunkStored
    | SourceFailed
    | SourceAlive
    | OriginChecked
    | ParticipantLost
    | ParticipantRestored
    | StagingFull
    | RolloutCancelled
    | Tick
)


@dataclass(frozen=True, slots=True)
class FetchChunk:
    """Request a chunk from a source; without a sign of life it is abandoned at ``deadline``."""

    manifest: str
    index: int
    source: Source
    deadline: float


@dataclass(frozen=True, slots=True)
class CancelFetch:
    """Stop waiting for a chunk from a source."""

    manifest: str
    index: int
    source: Source


@dataclass(frozen=True, slots=True)
class StoreChunk:
    """Write the verified chunk to the staging area and answer with :class:`ChunkStored`."""

    manifest: str
    index: int


@dataclass(frozen=True, slots=True)
class CheckOrigin:
    """Read the manifest of the origin again and answer with :class:`OriginChecked`."""

    manifest: str


@dataclass(frozen=True, slots=True)
class DiscardChunks:
    """Remove all chunks of a manifest from the staging area."""

    manifest: str


@dataclass(frozen=True, slots=True)
class ChunksComplete:
    """Every chunk of the manifest is verified and stored."""

    manifest: str


@dataclass(frozen=True, slots=True)
class RolloutFailed:
    """The rollout ended on this host without all chunks."""

    manifest: str
    code: Code


@dataclass(frozen=True, slots=True)
class ScheduleTick:
    """Send a :class:`Tick` at a time; replaces the earlier such wish."""

    time: float


FetchAction = (
    FetchChunk
    | CancelFetch
    | StoreChunk
    | CheckOrigin
    | DiscardChunks
    | ChunksComplete
    | RolloutFailed
    | ScheduleTick
)


@dataclass(frozen=True, slots=True)
class ManifestOffered:
    """Chunks of a manifest are served; the lowest priority number goes first."""

    manifest: str
    priority: int


@dataclass(frozen=True, slots=True)
class ManifestDropped:
    """Chunks of a manifest are no longer served."""

    manifest: str


@dataclass(frozen=True, slots=True)
class ChunkRequested:
    """A peer asks for a chunk; ``request`` is unique on this host."""

    request: int
    peer: str
    manifest: str
    index: int
    tier: Tier


@dataclass(frozen=True, slots=True)
class UploadProgressed:
    """A part of a chunk was taken by the peer."""

    request: int


@dataclass(frozen=True, slots=True)
class UploadEnded:
    """A chunk was sent, or its connection failed."""

    request: int


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The peer no longer waits for a chunk."""

    request: int


ServeMessage = (
    ManifestOffered
    | ManifestDropped
    | ChunkRequested
    | ChunkStored
    | UploadProgressed
    | UploadEnded
    | RequestCancelled
    | Tick
)


@dataclass(frozen=True, slots=True)
class SendChunk:
    """Send a chunk from the staging area to the peer of a request."""

    request: int
    manifest: str
    index: int


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Answer a request with a code; an upload that runs for it is cut."""

    request: int
    code: Code


ServeAction = SendChunk | RefuseRequest | ScheduleTick


__all__ = (
    'CancelFetch',
    'RolloutCancelled',
    'CheckOrigin',
    'ChunkReceived',
    'ChunkRequested',
    'ChunkStored',
    'ChunksComplete',
    'DiscardChunks',
    'RolloutFailed',
    'FetchAction',
    'FetchChunk',
    'FetchMessage',
    'ManifestDropped',
    'ManifestReceived',
    'ManifestOffered',
    'OriginChecked',
    'ParticipantRestored',
    'ParticipantLost',
    'RefuseRequest',
    'RequestCancelled',
    'SendChunk',
    'ServeAction',
    'ServeMessage',
    'SourceAlive',
    'SourceFailed',
    'StagingFull',
    'StoreChunk',
    'Tick',
    'UploadEnded',
    'UploadProgressed',
    'ScheduleTick',
)
