"""State machine that controls the loads of one engine and when its host admits work."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from cassiahitch.codes import Code


@dataclass(frozen=True, slots=True)
class LoadOrdered:
    """A controller ordered a load, with the fencing number of its lease."""

    manifest: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class ChunksVerified:
    """Every chunk of a manifest is verified and stored."""

    manifest: str


@dataclass(frozen=True, slots=True)
class ChunksDiscarded:
    """The chunks of a manifest were removed from the staging area."""

    manifest: str


@dataclass(frozen=True, slots=True)
class LoadFinished:
    """The engine responded to the load order ``number``; ``code`` is the result."""

    number: int
    code: Code


@dataclass(frozen=True, slots=True)
class LoadedDigestRead:
    """The engine reported its loaded digest after the load order ``number``."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class EngineLost:
    """The engine restarted or its loaded digest changed, so what it has loaded is unknown."""


GuardMessage = (
    LoadOrdered | ChunksVerified | ChunksDiscarded | LoadFinished | LoadedDigestRead | EngineLost
)


@dataclass(frozen=True, slots=True)
class RefuseOrder:
    """Reject a load order with an error code; nothing is sent to the engine."""

    manifest: str
    fencing_number: int
    code: Code


@dataclass(frozen=True, slots=True)
class StopAdmitting:
    """Stop admitting work because the loaded digest is unknown or about to change."""


@dataclass(frozen=True, slots=True)
class LoadEngine:
    """Send a load order to the engine; ``number`` identifies the order in the response."""

    number: int
    manifest: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class ReadLoadedDigest:
    """Query the loaded digest of the engine."""

    number: int


@dataclass(frozen=True, slots=True)
class AdmitWork:
    """Admit work under the digest that the engine reported."""

    manifest: str


@dataclass(frozen=True, slots=True)
class ReportLoadResult:
    """Report the result of a load to the controllers."""

    manifest: str
    code: Code


GuardAction = (
    RefuseOrder | StopAdmitting | LoadEngine | ReadLoadedDigest | AdmitWork | ReportLoadResult
)


class GuardPhase(StrEnum):
    """State of the engine as seen by the guard."""

    unknown = 'unknown'
    loading = 'loading'
    reading = 'reading'
    serving = 'serving'


class LoadGuard:
    """Decides which load orders are sent to the engine and when its host admits work."""

    def __init__(self) -> None:
        """Create a guard; what the engine has loaded is unknown."""
        self.fencing_number = 0
        self.verified_manifests: set[str] = set()
        self.phase = GuardPhase.unknown
        self.order_number = 0
        self.target_digest = ''
        self.previous_digest = ''
        self.admitted_digest = ''
        self.load_code = Code.ok
        self.postponed_order: LoadOrdered | None = None

    def handle(self, message: GuardMessage, now: float) -> tuple[GuardAction, ...]:
        """Apply a message and return the resulting actions.

        :param message: the event.
        :param now: monotonic time in seconds.
        :return: the actions, to be performed in this order.
        """
        match message:
            case LoadOrdered():
                return self.receive_order(message)
            case ChunksVerified(manifest):
                self.verified_manifests.add(manifest)
            case ChunksDiscarded(manifest):
                self.verified_manifests.discard(manifest)
            case LoadFinished(number, code):
                return (
                    self.record_load_finished(code)
                    if self.is_awaited(GuardPhase.loading, number)
                    else ()
                )
            case LoadedDigestRead(number, digest):
                return (
                    self.record_loaded_digest(digest)
                    if self.is_awaited(GuardPhase.reading, number)
                    else ()
                )
            case EngineLost():
                return self.record_engine_lost()
        return ()

    def is_awaited(self, phase: GuardPhase, number: int) -> bool:
        """Return whether a response belongs to the current phase and load order."""
        return self.phase is phase and self.order_number == number

    def receive_order(self, order: LoadOrdered) -> tuple[GuardAction, ...]:
        """Refuse a load order that is outdated or unverified, else load or postpone it."""
        if order.fencing_number < self.fencing_number:
            return (_refusal(order, Code.fencing_number_old),)
        self.fencing_number = order.fencing_number
        if order.manifest not in self.verified_manifests:
            return (_refusal(order, Code.load_refused),)
        if self.phase in {GuardPhase.loading, GuardPhase.reading}:
            return self.postpone(order)
        if self.admitted_digest == order.manifest:
            return (ReportLoadResult(order.manifest, Code.ok),)
        return self.load(order)

    def postpone(self, order: LoadOrdered) -> tuple[GuardAction, ...]:
        """Postpone a load order until the current load has ended."""
        if order.manifest == self.target_digest:
            self.postponed_order = None
        else:
            self.postponed_order = order
        return ()

    def load(self, order: LoadOrdered) -> tuple[GuardAction, ...]:
        """Stop admitting work and send the load order to the engine."""
        self.order_number += 1
        self.target_digest = order.manifest
        self.previous_digest = self.admitted_digest
        self.admitted_digest = ''
        self.phase = GuardPhase.loading
        order_number = self.order_number
        return (StopAdmitting(), LoadEngine(order_number, order.manifest, order.fencing_number))

    def record_load_finished(self, code: Code) -> tuple[GuardAction, ...]:
        """Query the loaded digest, whatever the result of the load."""
        self.phase = GuardPhase.reading
        self.load_code = code
        return (ReadLoadedDigest(self.order_number),)

    def record_loaded_digest(self, digest: str) -> tuple[GuardAction, ...]:
        """Admit work under the target version, or under the previous one if it is still loaded."""
        if digest == self.target_digest:
            self.load_code = Code.ok
        elif self.load_code is Code.ok:
            self.load_code = Code.loaded_digest_wrong
        report = ReportLoadResult(self.target_digest, self.load_code)
        self.phase = GuardPhase.unknown
        if self.postponed_order is not None:
            return (report, *self.run_postponed_order(self.postponed_order))
        if digest and digest in {self.target_digest, self.previous_digest}:
            self.phase = GuardPhase.serving
            self.admitted_digest = digest
            return (AdmitWork(digest), report)
        return (report,)

    def run_postponed_order(self, order: LoadOrdered) -> tuple[GuardAction, ...]:
        """Run the postponed load order, if its chunks are still verified."""
        self.postponed_order = None
        if order.manifest not in self.verified_manifests:
            return (_refusal(order, Code.load_refused),)
        return self.load(order)

    def record_engine_lost(self) -> tuple[GuardAction, ...]:
        """Stop admitting work until another load order has been confirmed."""
        self.phase = GuardPhase.unknown
        self.admitted_digest = ''
        self.postponed_order = None
        self.order_number += 1
        return (StopAdmitting(),)


def _refusal(order: LoadOrdered, code: Code) -> RefuseOrder:
    return RefuseOrder(order.manifest, order.fencing_number, code)


__all__ = (
    'AdmitWork',
    'ChunksDiscarded',
    'ChunksVerified',
    'EngineLost',
    'GuardAction',
    'GuardMessage',
    'GuardPhase',
    'LoadFinished',
    'LoadEngine',
    'LoadGuard',
    'LoadOrdered',
    'LoadedDigestRead',
    'ReadLoadedDigest',
    'RefuseOrder',
    'ReportLoadResult',
    'StopAdmitting',
)
