"""Messages and actions of the state machines that fetch and serve chunks."""

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
    """A plan and its manifest were read; the fetcher starts or updates its rollout."""

    plan: RolloutPlan
    manifest: Manifest


@dataclass(frozen=True, slots=True)
class ChunkReceived:
    """A chunk was received from a source; ``verified`` is whether its size and digest match."""

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
    """A fetch from a source ended without a chunk."""

    manifest: str
    index: int
    source: Source
    code: Code


@dataclass(frozen=True, slots=True)
class SourceAlive:
    """A heartbeat or a part of a chunk was received from a host."""

    host: str


@dataclass(frozen=True, slots=True)
class OriginChecked:
    """The manifest was read from the origin again; ``published_digest`` is its current digest."""

    manifest: str
    published_digest: str


@dataclass(frozen=True, slots=True)
class ParticipantLost:
    """A host crashed, stopped or disconnected."""

    host: str


@dataclass(frozen=True, slots=True)
class ParticipantRestored:
    """A lost host is live again."""

    host: str


@dataclass(frozen=True, slots=True)
class StagingFull:
    """A chunk did not fit in the staging area."""

    manifest: str
    index: int


@dataclass(frozen=True, slots=True)
class RolloutCancelled:
    """The rollout was replaced by a newer version."""

    manifest: str


@dataclass(frozen=True, slots=True)
class Tick:
    """The time of the latest :class:`ScheduleTick` has been reached."""


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
    """Request a chunk from a source; expires at ``deadline`` unless the source is active."""

    manifest: str
    index: int
    source: Source
    deadline: float


@dataclass(frozen=True, slots=True)
class CancelFetch:
    """Cancel the fetch of a chunk from a source."""

    manifest: str
    index: int
    source: Source


@dataclass(frozen=True, slots=True)
class StoreChunk:
    """Write the verified chunk to the staging area; :class:`ChunkStored` is the reply."""

    manifest: str
    index: int


@dataclass(frozen=True, slots=True)
class CheckOrigin:
    """Read the manifest from the origin again; :class:`OriginChecked` is the reply."""

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
    """The rollout failed on this host before all chunks were stored."""

    manifest: str
    code: Code


@dataclass(frozen=True, slots=True)
class ScheduleTick:
    """Send a :class:`Tick` at a time; replaces the previously scheduled one."""

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
    """Chunks of a manifest may be served; the lowest priority number is served first."""

    manifest: str
    priority: int


@dataclass(frozen=True, slots=True)
class ManifestDropped:
    """Chunks of a manifest are no longer served."""

    manifest: str


@dataclass(frozen=True, slots=True)
class ChunkRequested:
    """A peer requested a chunk; ``request`` is unique on this host."""

    request: int
    peer: str
    manifest: str
    index: int
    tier: Tier


@dataclass(frozen=True, slots=True)
class UploadProgressed:
    """A part of a chunk was sent to the peer."""

    request: int


@dataclass(frozen=True, slots=True)
class UploadEnded:
    """An upload ended because the chunk was sent or the connection failed."""

    request: int


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The peer no longer waits for its request."""

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
    """Reply to a request with an error code and abort its upload, if any."""

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
