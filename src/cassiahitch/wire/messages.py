"""Messages between the processes of the system.

Times are in milliseconds. Digests of weights are SHA-256 in hexadecimal, other digests raw bytes.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Challenge:
    """First frame of the accepting end, with the nonce for the proof of the dialer."""

    nonce: bytes = b''


@dataclass(frozen=True, slots=True)
class Hello:
    """Identifies a process and proves that it holds the system key."""

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
    """A prompt prefix that an engine has cached or evicted."""

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
    """Sends a request to the backend server of an agent."""

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
    """A part of the body of a streamed answer."""

    request_id: bytes = b''
    index: int = 0
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer or the end of a streamed one; ``checksum`` is SHA-256."""

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
    """Asks an agent to void a request, so that it never runs."""

    ledger_key: str = ''
    incarnation: int = 0
    not_after_ms: int = 0
    takeover: bool = False
    body_digest: bytes = b''


@dataclass(frozen=True, slots=True)
class Status:
    """Asks an agent for the state of a request in its ledger."""

    ledger_key: str = ''
    incarnation: int = 0
    not_after_ms: int = 0
    body_digest: bytes = b''


@dataclass(frozen=True, slots=True)
class LedgerState:
    """State of a key in the ledger of an agent, with the answer if the request has ended."""

    ledger_key: str = ''
    state: str = ''
    incarnation: int = 0
    answers: tuple[Answer, ...] = ()


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a request whose caller has disconnected."""

    request_id: bytes = b''


@dataclass(frozen=True, slots=True)
class ConfigurationPull:
    """Asks a peer for the configuration changes after a revision."""

    after_revision: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Configuration changes from a base revision to a revision, or a snapshot, as JSON."""

    base_revision: int = 0
    revision: int = 0
    snapshot: bool = False
    document: bytes = b''


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address at which a host accepts connections."""

    host: str = ''
    address: str = ''
    port: int = 0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class FetchOrder:
    """Orders an agent to fetch the chunks of a manifest as a participant of a plan."""

    deployment: str = ''
    manifest_digest: str = ''
    origin: str = ''
    plan: bytes = b''
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class OrderLoad:
    """Orders an agent to load versions whose chunks are all on its host."""

    deployment: str = ''
    digest: str = ''
    manifests: tuple[str, ...] = ()
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Whether an order was accepted."""

    code: int = 0
    detail: str = ''


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Asks an agent for a chunk; the agent waits up to ``wait_ms`` until it has received it."""

    manifest_digest: str = ''
    index: int = 0
    host: str = ''
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class ChunkReply:
    """A chunk, or the code of the reason why it is not available."""

    manifest_digest: str = ''
    index: int = 0
    code: int = 0
    content: bytes = b''


@dataclass(frozen=True, slots=True)
class EntryGossip:
    """State that entries share with each other, as JSON."""

    host: str = ''
    incarnation: int = 0
    news: bytes = b''


@dataclass(frozen=True, slots=True)
class Failure:
    """Reply to a call that failed."""

    code: int = 0
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Release:
    """Orders an agent to stop serving a deployment."""

    deployment: str = ''
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class CancelLoad:
    """Orders an agent to cancel a load."""

    digest: str = ''
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class OrderDrain:
    """Orders an agent to refuse new requests and to finish those in progress."""

    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class Locate:
    """Asks an entry for the address at which a host accepts connections."""

    host: str = ''


@dataclass(frozen=True, slots=True)
class ReportPull:
    """Asks a process for its time line or its metrics; empty identifiers select all events."""

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
