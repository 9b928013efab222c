"""Messages that are sent as datagrams; times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from cassiahitch.stores.api import NO_ERA


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A crash of a backend server."""

    host: str = ''
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """A request fingerprint that was in flight when backend servers crashed."""

    organisation: str = ''
    service_name: str = ''
    body_digest: str = ''
    epoch: int = 0
    crashes: tuple[CrashRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """A declared version of weights; the sender received it ``age_ms`` ago."""

    model: str = ''
    version: int = 0
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class ColdRecord:
    """A service has a cold rate of ``milli_per_s``, in thousandths of a request per second.

    Its replica stays cold for another ``left_ms``, 0 if it is not cold.
    """

    left_ms: int = 0
    milli_per_s: int = 0


@dataclass(frozen=True, slots=True)
class LimitRecord:
    """The rate limit of a replica, as named in a response.

    ``milli_per_s`` is in thousandths of a request per second, -1 if the response named no limit.
    Its request was sent ``sent_age_ms`` ago, and it was received ``received_age_ms`` ago. An empty
    ``replica`` stands for the engine of the agent that sends or receives the message. ``cold``
    holds one record if the service of the replica has a cold rate.
    """

    replica: str = ''
    born_ms: int = 0
    milli_per_s: int = -1
    sent_age_ms: int = 0
    received_age_ms: int = 0
    cold: tuple[ColdRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class SegmentCrashRecord:
    """A crash of an engine, and prompt segments of requests that had not begun there."""

    replica: str = ''
    born_ms: int = 0
    service_name: str = ''
    age_ms: int = 0
    segments: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SegmentRecord:
    """A prompt segment with which a request began ``age_ms`` ago."""

    service_name: str = ''
    segment: str = ''
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class MemberState:
    """State of an entry in the region of the sender.

    The entry itself increments ``sequence`` with each change of its state. Other entries set
    ``silent`` if the entry does not respond; the entry refutes this with a higher ``sequence``.
    ``capacity`` is the processor time of its host, in hundredths of a core.
    """

    name: str = ''
    incarnation: int = 0
    sequence: int = 0
    address: str = ''
    http_port: int = 0
    ready: bool = False
    leaving: bool = False
    silent: bool = False
    region: str = ''
    capacity: int = 100


@dataclass(frozen=True, slots=True)
class RegionState:
    """Summary of the entries of a region, made by one of them ``age_ms`` ago.

    ``live`` is the number of live entries; ``endpoints`` holds the addresses of some ready ones.
    """

    region: str = ''
    age_ms: int = 0
    live: int = 0
    endpoints: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MemberNews:
    """Gossip between two entries; the first of ``members`` is the sender.

    The receiver of a message with ``asks`` replies under the same ``number``. If ``target`` is
    set, the receiver first probes the entry at that address, and replies only if it is alive.
    """

    number: int = 0
    asks: bool = False
    target: str = ''
    members: tuple[MemberState, ...] = ()
    regions: tuple[RegionState, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    versions: tuple[VersionRecord, ...] = ()
    limits: tuple[LimitRecord, ...] = ()
    segment_crashes: tuple[SegmentCrashRecord, ...] = ()
    sound_segments: tuple[SegmentRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestCost:
    """Output length that is expected of a request."""

    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class EngineWork:
    """Outstanding work of the requests at an engine, as far as entries announced it.

    ``remaining_tokens`` is the output that a request is expected to have left which keeps a further
    one waiting for its slot, and ``prompt_tokens`` the length of the prompts of all waiting
    requests together.
    """

    remaining_tokens: int = 0
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class PlaceQuery:
    """Query of an entry to an agent for the load of its engine.

    The agent counts the request as waiting for a short time, unless a :class:`PlaceReturn`
    releases it. If the engine names a rate limit, the agent grants or refuses a permit as well.
    ``limits`` holds the limit of the engine if the entry has observed one, and ``costs`` the
    expected cost of the request if the entry places by cost.
    """

    number: int = 0
    prompt_tokens: int = 0
    limits: tuple[LimitRecord, ...] = ()
    costs: tuple[RequestCost, ...] = ()


@dataclass(frozen=True, slots=True)
class PlaceReturn:
    """Releases the place or the permit of a query whose request is not sent."""

    number: int = 0


@dataclass(frozen=True, slots=True)
class PermitRefusal:
    """The rate limit of a replica is used up; a permit is available in ``available_ms``."""

    available_ms: int = 0


@dataclass(frozen=True, slots=True)
class PermitQuery:
    """Query of an entry to an agent for a permit to send a request to a plain replica.

    ``limits`` holds the limit of the replica as the entry has observed it.
    """

    number: int = 0
    limits: tuple[LimitRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Reply to a permit query; the permit is granted if ``refusals`` is empty.

    ``limits`` holds the current limit of the replica.
    """

    number: int = 0
    limits: tuple[LimitRecord, ...] = ()
    refusals: tuple[PermitRefusal, ...] = ()


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """Observation of an entry that changes the rate limit of a replica."""

    limits: tuple[LimitRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load of the engine of an agent, sent as a reply to a query or unsolicited as number 0.

    ``waiting`` includes the requests of recent queries that have not arrived yet. ``leaving`` is
    set if the engine reports that it is stopping. ``limits`` holds the rate limit of the engine if
    it has named one, and ``refusals`` is set if no permit is granted for the request of the query.
    ``work`` is set in the reply to a query with a cost if most of the work is known.
    """

    number: int = 0
    incarnation: int = 0
    born_ms: int = 0
    running: int = 0
    waiting: int = 0
    slowness_percent: int = 0
    loading: bool = False
    model: str = ''
    version: int = 0
    leaving: bool = False
    limits: tuple[LimitRecord, ...] = ()
    refusals: tuple[PermitRefusal, ...] = ()
    work: tuple[EngineWork, ...] = ()


@dataclass(frozen=True, slots=True)
class ChunkMap:
    """Chunks of a version that an agent holds, as a bit map in hexadecimal digits.

    ``uploads`` is the number of chunks that the agent is sending or has queued for sending.
    """

    model: str = ''
    version: int = 0
    held: str = '0'
    uploads: int = 0


@dataclass(frozen=True, slots=True)
class TableQuery:
    """Query of an entry to another one for changes of a table of the store."""

    table: str = ''
    number: int = 0


@dataclass(frozen=True, slots=True)
class TableState:
    """State of a cached table, sent as a reply to a query or ``unasked`` after a change.

    The sender has received all changes up to version ``since`` of the store, the last of them at
    version ``changed``; its copy was confirmed to be current ``age_ms`` ago. ``known`` is false if
    the sender has no copy of the table. The versions are those of the era ``era`` of the store.
    """

    table: str = ''
    number: int = 0
    unasked: bool = False
    known: bool = False
    since: int = 0
    changed: int = 0
    age_ms: int = 0
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class RowRecord:
    """A row of a table; a ``removed`` row has no content."""

    key: str = ''
    content: bytes = b''
    removed: bool = False
    version: int = 0


@dataclass(frozen=True, slots=True)
class TableRows:
    """The rows that changed after version ``after`` of the store up to version ``since``.

    The last change that the sender has received is at version ``changed``; its copy was confirmed
    to be current ``age_ms`` ago. With ``whole``, the message holds all rows of the table. The
    versions are those of the era ``era`` of the store.
    """

    table: str = ''
    whole: bool = False
    after: int = 0
    since: int = 0
    changed: int = 0
    age_ms: int = 0
    rows: tuple[RowRecord, ...] = ()
    era: int = NO_ERA


#: Every message that a datagram can carry.
DatagramMessage = (
    MemberNews
    | PlaceQuery
    | PlaceReturn
    | EngineLoad
    | ChunkMap
    | TableQuery
    | TableState
    | TableRows
    | PermitQuery
    | PermitReply
    | LimitNotice
)

__all__ = (
    'ColdRecord',
    'DatagramMessage',
    'ChunkMap',
    'CrashRecord',
    'EngineLoad',
    'EngineWork',
    'LimitNotice',
    'LimitRecord',
    'MemberNews',
    'MemberState',
    'PermitQuery',
    'PermitRefusal',
    'PermitReply',
    'PlaceQuery',
    'PlaceReturn',
    'RegionState',
    'RequestCost',
    'RowRecord',
    'SegmentCrashRecord',
    'SegmentRecord',
    'SuspectRecord',
    'TableQuery',
    'TableRows',
    'TableState',
    'VersionRecord',
)
