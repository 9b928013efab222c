"""Messages between the processes of the system.

Times are milliseconds; digests of weights are hexadecimal SHA-256, other digests raw bytes.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Challenge:
    """The first frame of the accepting side."""

    nonce: bytes = b''


@dataclass(frozen=True, slots=True)
class Hello:
    """Names a process and proves that it knows the system key."""

    role: str = ''
    host: str = ''
    incarnation: int = 0
    region: str = ''
    failure_domain: str = ''
    address: str = ''
    port: int = 0
    nonce: bytes = b''
    proof: bytes = b''
    clock_ms: int = 0


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """A prompt prefix that entered or left the cache of an engine."""

    sequence: int = 0
    prefix: str = ''
    cached: bool = False


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of a process, sent at a fixed interval in both directions."""

    incarnation: int = 0
    sequence: int = 0
    uptime_ms: int = 0
    clock_ms: int = 0
    revision: int = 0
    leaving: bool = False
    ready: bool = False
    running: int = 0
    queued: int = 0
    capacity: int = 0
    deployment: str = ''
    loaded_digest: str = ''
    loading_digest: str = ''
    load_epoch: int = 0
    complete_digests: tuple[str, ...] = ()
    chunks_complete: int = 0
    http_port: int = 0
    plain_service: str = ''
    backend_crashes: int = 0
    cache_sequence: int = 0
    cache_events: tuple[CachedPrefix, ...] = ()


@dataclass(frozen=True, slots=True)
class Dispatch:
    """A request for the backend server of an agent."""

    request_id: bytes = b''
    ledger_key: str = ''
    incarnation: int = 0
    not_after_ms: int = 0
    organisation: str = ''
    service_name: str = ''
    body_digest: bytes = b''
    body: bytes = b''
    priority: int = 0
    stream: bool = False
    claim_key: str = ''
    idempotent: bool = False
    deadline_ms: int = 0
    alone: bool = False


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """A part of a streamed answer."""

    request_id: bytes = b''
    index: int = 0
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Answer:
    """The end of an answer; its checksum is SHA-256."""

    request_id: bytes = b''
    body_digest: bytes = b''
    code: int = 0
    ran: str = ''
    detail: str = ''
    body: bytes = b''
    length: int = 0
    checksum: bytes = b''
    weights_digest: str = ''
    backend_crashed: bool = False
    replayed: bool = False
    backend_crashes: int = 0


@dataclass(frozen=True, slots=True)
class Void:
    """Asks an agent never to run a request."""

    ledger_key: str = ''
    incarnation: int = 0
    not_after_ms: int = 0
    takeover: bool = False
    body_digest: bytes = b''


@dataclass(frozen=True, slots=True)
class Status:
    """Asks an agent what became of a request."""

    ledger_key: str = ''
    incarnation: int = 0
    not_after_ms: int = 0
    body_digest: bytes = b''


@dataclass(frozen=True, slots=True)
class LedgerState:
    """What the ledger of an agent holds for a key, with the answer if there is one."""

    ledger_key: str = ''
    state: str = ''
    incarnation: int = 0
    answers: tuple[Answer, ...] = ()


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stops a request whose caller has left."""

    request_id: bytes = b''


@dataclass(frozen=True, slots=True)
class ConfigurationPull:
    """Asks a peer for the configuration after a revision."""

    after_revision: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Changes from a base revision to a revision, or a whole snapshot, as JSON."""

    base_revision: int = 0
    revision: int = 0
    snapshot: bool = False
    document: bytes = b''


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a host accepts connections."""

    host: str = ''
    address: str = ''
    port: int = 0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class FetchOrder:
    """Orders an agent to fetch a manifest as a participant of a plan."""

    deployment: str = ''
    manifest_digest: str = ''
    origin: str = ''
    plan: bytes = b''
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class OrderLoad:
    """Orders an agent to load versions that are complete on its host."""

    deployment: str = ''
    digest: str = ''
    manifests: tuple[str, ...] = ()
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Whether an order was taken."""

    code: int = 0
    detail: str = ''


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Asks an agent for a chunk; it may wait until the chunk has arrived there."""

    manifest_digest: str = ''
    index: int = 0
    host: str = ''
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class ChunkReply:
    """A chunk, or the code that says why there is none."""

    manifest_digest: str = ''
    index: int = 0
    code: int = 0
    content: bytes = b''


@dataclass(frozen=True, slots=True)
class EntryGossip:
    """News that entries share, as JSON."""

    host: str = ''
    incarnation: int = 0
    news: bytes = b''


@dataclass(frozen=True, slots=True)
class Failure:
    """A call that could not be handled."""

    code: int = 0
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Release:
    """Orders an agent to serve a deployment no longer."""

    deployment: str = ''
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class CancelLoad:
    """Orders an agent to give up a load."""

    digest: str = ''
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class OrderDrain:
    """Orders an agent to refuse new work and to finish what runs."""

    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class Locate:
    """Asks an entry where a host accepts connections."""

    host: str = ''


@dataclass(frozen=True, slots=True)
class ReportPull:
    """Asks a process for its time line or its metrics; an empty identifier selects all."""

    topic: str = ''
    request_id: str = ''
    rollout_id: str = ''


@dataclass(frozen=True, slots=True)
class Report:
    """Events or metrics of a process, as JSON."""

    document: bytes = b''


#: Every message that a frame can carry.
Message = (
    Challenge
    | Hello
    | Heartbeat
    | Dispatch
    | AnswerPart
    | Answer
    | Void
    | Status
    | LedgerState
    | Cancel
    | ConfigurationPull
    | ConfigurationUpdate
    | FetchOrder
    | CancelLoad
    | OrderLoad
    | OrderReply
    | ChunkRequest
    | ChunkReply
    | EntryGossip
    | Failure
    | Release
    | OrderDrain
    | Locate
    | PeerAddress
    | ReportPull
    | Report
)

__all__ = (
    'Answer',
    'AnswerPart',
    'CachedPrefix',
    'Cancel',
    'CancelLoad',
    'Challenge',
    'ChunkReply',
    'ChunkRequest',
    'ConfigurationPull',
    'ConfigurationUpdate',
    'Dispatch',
    'EntryGossip',
    'Failure',
    'FetchOrder',
    'Heartbeat',
    'Hello',
    'LedgerState',
    'Locate',
    'Message',
    'OrderDrain',
    'OrderLoad',
    'OrderReply',
    'PeerAddress',
    'Release',
    'Report',
    'ReportPull',
    'Status',
    'Void',
)
