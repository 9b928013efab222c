"""Guards the loads of one engine: order, completeness and what it has loaded."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from cassiahitch.codes import Code


@dataclass(frozen=True, slots=True)
class LoadOrdered:
    """A controller orders a load under its lease's fencing number."""

    manifest: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class ChunksVerified:
    """Every chunk of a manifest is verified and stored."""

    manifest: str


@dataclass(frozen=True, slots=True)
class ChunksDropped:
    """The chunks of a manifest were removed from the staging area."""

    manifest: str


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """The engine answered the order ``number``; ``code`` tells how."""

    number: int
    code: Code


@dataclass(frozen=True, slots=True)
class LoadedRead:
    """The engine named what it has loaded, asked after the order ``number``."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class EngineLost:
    """The engine restarted or cannot be reached; what it has loaded is unknown."""


GuardMessage = LoadOrdered | ChunksVerified | ChunksDropped | LoadEnded | LoadedRead | EngineLost


@dataclass(frozen=True, slots=True)
class RefuseOrder:
    """Answer an order with a code; the engine hears nothing of it."""

    manifest: str
    fencing_number: int
    code: Code


@dataclass(frozen=True, slots=True)
class StopAdmitting:
    """Admit no work, since what the engine has loaded is about to change or unknown."""


@dataclass(frozen=True, slots=True)
class LoadEngine:
    """Order the engine to load; ``number`` identifies the order in its answer."""

    number: int
    manifest: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class ReadLoaded:
    """Ask the engine what it has loaded."""

    number: int


@dataclass(frozen=True, slots=True)
class AdmitWork:
    """Admit work under the digest that was read back."""

    manifest: str


@dataclass(frozen=True, slots=True)
class ReportLoad:
    """Tell the controllers how a load ended."""

    manifest: str
    code: Code


GuardAction = RefuseOrder | StopAdmitting | LoadEngine | ReadLoaded | AdmitWork | ReportLoad


class GuardPhase(StrEnum):
    """What is known of the engine."""

    unknown = 'unknown'
    loading = 'loading'
    reading = 'reading'
    serving = 'serving'


class LoadGuard:
    """Decides which orders the engine gets and when its host admits work."""

    def __init__(self) -> None:
        """Create the guard of an engine of which nothing is known."""
        self.fencing_number = 0
        self.verified: set[str] = set()
        self.phase = GuardPhase.unknown
        self.number = 0
        self.wanted = ''
        self.previous = ''
        self.admitted = ''
        self.outcome = Code.ok
        self.following: LoadOrdered | None = None

    def handle(self, message: GuardMessage, now: float) -> tuple[GuardAction, ...]:
        """Take a message and decide what follows.

        :param message: what happened.
        :param now: the time in seconds.
        :return: the actions, to be done in this order.
        """
        match message:
            case LoadOrdered():
                return self.take_order(message)
            case ChunksVerified(manifest):
                self.verified.add(manifest)
            case ChunksDropped(manifest):
                self.verified.discard(manifest)
            case LoadEnded(number, code):
                return self.note_load(code) if self.awaits(GuardPhase.loading, number) else ()
            case LoadedRead(number, digest):
                return self.note_digest(digest) if self.awaits(GuardPhase.reading, number) else ()
            case EngineLost():
                return self.lose_engine()
        return ()

    def awaits(self, phase: GuardPhase, number: int) -> bool:
        """Tell whether an answer is the one that is waited for."""
        return self.phase is phase and self.number == number

    def take_order(self, order: LoadOrdered) -> tuple[GuardAction, ...]:
        """Refuse an order that is old or cannot be obeyed, else obey it."""
        if order.fencing_number < self.fencing_number:
            return (_refusal(order, Code.fencing_number_old),)
        self.fencing_number = order.fencing_number
        if order.manifest not in self.verified:
            return (_refusal(order, Code.load_refused),)
        if self.phase in {GuardPhase.loading, GuardPhase.reading}:
            return self.postpone(order)
        if self.admitted == order.manifest:
            return (ReportLoad(order.manifest, Code.ok),)
        return self.load(order)

    def postpone(self, order: LoadOrdered) -> tuple[GuardAction, ...]:
        """Keep an order until the engine has answered the one before."""
        if order.manifest == self.wanted:
            self.following = None
        else:
            self.following = order
        return ()

    def load(self, order: LoadOrdered) -> tuple[GuardAction, ...]:
        """Stop admitting work and order the engine to load."""
        self.number += 1
        self.wanted = order.manifest
        self.previous = self.admitted
        self.admitted = ''
        self.phase = GuardPhase.loading
        number = self.number
        return (StopAdmitting(), LoadEngine(number, order.manifest, order.fencing_number))

    def note_load(self, code: Code) -> tuple[GuardAction, ...]:
        """Read back what is loaded, whatever the engine said."""
        self.phase = GuardPhase.reading
        self.outcome = code
        return (ReadLoaded(self.number),)

    def note_digest(self, digest: str) -> tuple[GuardAction, ...]:
        """Admit work under the wanted version, or under the one before if the load failed."""
        if digest == self.wanted:
            self.outcome = Code.ok
        elif self.outcome is Code.ok:
            self.outcome = Code.loaded_digest_wrong
        report = ReportLoad(self.wanted, self.outcome)
        self.phase = GuardPhase.unknown
        if self.following is not None:
            return (report, *self.follow(self.following))
        if digest and digest in {self.wanted, self.previous}:
            self.phase = GuardPhase.serving
            self.admitted = digest
            return (AdmitWork(digest), report)
        return (report,)

    def follow(self, order: LoadOrdered) -> tuple[GuardAction, ...]:
        """Obey the order that was kept."""
        self.following = None
        if order.manifest not in self.verified:
            return (_refusal(order, Code.load_refused),)
        return self.load(order)

    def lose_engine(self) -> tuple[GuardAction, ...]:
        """Admit nothing until a load was ordered and read back."""
        self.phase = GuardPhase.unknown
        self.admitted = ''
        self.following = None
        self.number += 1
        return (StopAdmitting(),)


def _refusal(order: LoadOrdered, code: Code) -> RefuseOrder:
    return RefuseOrder(order.manifest, order.fencing_number, code)


__all__ = (
    'AdmitWork',
    'ChunksDropped',
    'ChunksVerified',
    'EngineLost',
    'GuardAction',
    'GuardMessage',
    'GuardPhase',
    'LoadEnded',
    'LoadEngine',
    'LoadGuard',
    'LoadOrdered',
    'LoadedRead',
    'ReadLoaded',
    'RefuseOrder',
    'ReportLoad',
    'StopAdmitting',
)
