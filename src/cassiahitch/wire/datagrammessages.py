"""Messages that are sent as datagrams; times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A crash of a backend server."""

    host: str = ''
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """A fingerprint that was in flight at crashes."""

    organisation: str = ''
    service_name: str = ''
    body_digest: str = ''
    epoch: int = 0
    crashes: tuple[CrashRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """A declared version of weights and how long ago the sender learned of it."""

    model: str = ''
    version: int = 0
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class MemberState:
    """State of an entry of the own region.

    ``sequence`` grows with each change that the entry makes itself. ``silent`` is what others say
    of it, until it answers with a higher sequence. ``capacity`` is the processor time that its host
    has, in hundredths of a core.
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
    """Entries of a region as one of them saw it ``age_ms`` ago.

    ``endpoints`` names a few of those that are ready.
    """

    region: str = ''
    age_ms: int = 0
    live: int = 0
    endpoints: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MemberNews:
    """What an entry tells another one; ``members`` begins with the sender.

    A message that ``asks`` is answered under the same ``number``. With a ``target``, the receiver
    is to ask the entry at that address whether it lives, and to answer if it does.
    """

    number: int = 0
    asks: bool = False
    target: str = ''
    members: tuple[MemberState, ...] = ()
    regions: tuple[RegionState, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    versions: tuple[VersionRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class PlaceQuery:
    """An entry asks an agent how busy its engine is.

    The agent counts the request as on its way for a moment, unless it is given back.
    """

    number: int = 0
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class PlaceReturn:
    """The request of a query goes elsewhere."""

    number: int = 0


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load of the engine beside an agent, as the answer to a query or unasked under number 0.

    ``waiting`` counts the requests that are on their way as well. ``leaving`` tells that the
    engine says that it is about to end.
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


@dataclass(frozen=True, slots=True)
class ChunkMap:
    """Chunks that an agent holds of a version, as bits in hexadecimal digits.

    ``uploads`` counts the chunks that it sends or that wait for it to send them.
    """

    model: str = ''
    version: int = 0
    held: str = '0'
    uploads: int = 0


@dataclass(frozen=True, slots=True)
class TableQuery:
    """An entry asks another one whether a table of the store has changed."""

    table: str = ''
    number: int = 0


@dataclass(frozen=True, slots=True)
class TableState:
    """Answers a query, or tells of a change if it is ``unasked``.

    The sender has seen all changes up to version ``since`` of the store, the last of them at
    version ``changed``; ``age_ms`` ago it knew that there were no others.
    """

    table: str = ''
    number: int = 0
    unasked: bool = False
    known: bool = False
    since: int = 0
    changed: int = 0
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class RowRecord:
    """A row of a table; ``removed`` tells that it has no content any more."""

    key: str = ''
    content: bytes = b''
    removed: bool = False
    version: int = 0


@dataclass(frozen=True, slots=True)
class TableRows:
    """The rows that changed after version ``after`` of the store up to version ``since``.

    The last change that the sender knows of is at version ``changed``, and ``age_ms`` ago it knew
    that there were no others. With ``whole``, there are no other rows.
    """

    table: str = ''
    whole: bool = False
    after: int = 0
    since: int = 0
    changed: int = 0
    age_ms: int = 0
    rows: tuple[RowRecord, ...] = ()


DatagramMessage = (
    MemberNews
    | PlaceQuery
    | PlaceReturn
    | EngineLoad
    | ChunkMap
    | TableQuery
    | TableState
    | TableRows
)

__all__ = (
    'DatagramMessage',
    'ChunkMap',
    'CrashRecord',
    'EngineLoad',
    'MemberNews',
    'MemberState',
    'PlaceQuery',
    'PlaceReturn',
    'RegionState',
    'RowRecord',
    'SuspectRecord',
    'TableQuery',
    'TableRows',
    'TableState',
    'VersionRecord',
)
