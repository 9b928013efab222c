"""Simulates hosts that distribute chunks over links, with the real fetchers and servers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.bench.links import Event, Flow, Link, Network, VirtualTime
from cassiahitch.codes import Code
from cassiahitch.weights.activefetches import FetchLimits
from cassiahitch.weights.api import (
    CancelFetch,
    CheckOrigin,
    ChunkReceived,
    ChunkRequested,
    ChunksComplete,
    ChunkStored,
    DiscardChunks,
    FetchAction,
    FetchChunk,
    FetchMessage,
    ManifestDropped,
    ManifestOffered,
    ManifestReceived,
    OriginChecked,
    ParticipantLost,
    RefuseRequest,
    RequestCancelled,
    RolloutCancelled,
    RolloutFailed,
    ScheduleTick,
    SendChunk,
    ServeAction,
    ServeMessage,
    SourceAlive,
    SourceFailed,
    StoreChunk,
    Tick,
    UploadEnded,
    UploadProgressed,
)
from cassiahitch.weights.fetcher import Fetcher, Phase
from cassiahitch.weights.server import ChunkServer, ServeLimits
from cassiahitch.weights.tree import Trees

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.weights.manifest import Manifest
    from cassiahitch.weights.plan import Participant, RolloutPlan

HEARTBEAT_INTERVAL_S = 2
#: Seconds after which all hosts have detected the crash of a host.
CRASH_DETECTION_S = 5
LATENCY_S = 0.001


@dataclass(frozen=True, slots=True)
class Rates:
    """The rates that chunks may use on each kind of link, in bytes per second."""

    origin: float
    region: float
    host: float


@dataclass(frozen=True, slots=True)
class Request:
    """A fetch in progress."""

    number: int
    host: Host
    action: FetchChunk
    size: int


@dataclass(eq=False)
class Host:
    """A host with its links, its server, and its fetchers and wake-ups by manifest digest."""

    member: Participant
    up: Link
    down: Link
    server: ChunkServer
    fetchers: dict[str, Fetcher] = field(default_factory=dict)
    wakeups: dict[str, Event] = field(default_factory=dict)
    alive: bool = True
    stalled: bool = False
    inbox: list[Callable[[], None]] = field(default_factory=list)

    @property
    def is_responsive(self) -> bool:
        """Whether the host is alive and its links are not stalled."""
        return self.alive and not self.stalled


@dataclass(frozen=True, slots=True)
class Rollout:
    """A rollout plan with its manifest, its trees and its priority."""

    plan: RolloutPlan
    manifest: Manifest
    trees: Trees
    priority: int = 0


class Swarm:
    """Performs the actions of all hosts and delivers their messages over simulated links."""

    def __init__(
        self,
        rates: Rates,
        rng: random.Random,
        fetch_limits: FetchLimits | None = None,
        serve_limits: ServeLimits | None = None,
    ) -> None:
        """Create a swarm without hosts.

        :param rates: the rates that chunks may use on the links.
        :param rng: source of corrupt chunks and of the jitter of the hosts.
        :param fetch_limits: limits of each fetcher.
        :param serve_limits: limits of each server.
        """
        self.rates = rates
        self.rng = rng
        self.fetch_limits = fetch_limits
        self.serve_limits = serve_limits
        self.time = VirtualTime()
        self.network = Network(self.time)
        self.origin = Link(rates.origin)
        self.region_up: dict[str, Link] = {}
        self.region_down: dict[str, Link] = {}
        self.hosts: dict[str, Host] = {}
        self.requests: dict[int, Request] = {}
        self.request_numbers: dict[tuple[str, str, int, str], int] = {}
        self.flows: dict[int, Flow] = {}
        self.completed: dict[tuple[str, str], float] = {}
        self.failed: dict[tuple[str, str], Code] = {}
        self.published: dict[str, str] = {}
        self.corrupt_share = float(0)
        self.heartbeat_s = float(HEARTBEAT_INTERVAL_S)
        self.serial = 0

    def add_host(self, member: Participant) -> Host:
        """Add a host.

        :param member: name, region and failure domain of the host.
        :return: the host.
        """
        for links in (self.region_up, self.region_down):
            links.setdefault(member.region, Link(self.rates.region))
        host = Host(
            member,
            Link(self.rates.host),
            Link(self.rates.host),
            ChunkServer(self.serve_limits),
        )
        self.hosts[member.host] = host
        first_heartbeat_at = self.time.now + self.heartbeat_s * self.rng.random()
        self.time.schedule(first_heartbeat_at, lambda: self.send_heartbeats(host))
        return host

    def add_rollout(self, host: Host, rollout: Rollout) -> None:
        """Start a rollout at a host.

        :param host: the host.
        :param rollout: the rollout.
        """
        digest = rollout.manifest.digest
        rng = random.Random(self.rng.random())
        fetcher = Fetcher(host.member, rng, self.fetch_limits, rollout.trees)
        host.fetchers[digest] = fetcher
        self.published.setdefault(digest, digest)
        self.handle_serve_message(host, ManifestOffered(digest, rollout.priority))
        self.handle_fetch_message(host, fetcher, ManifestReceived(rollout.plan, rollout.manifest))

    def cancel_rollout(self, host: Host, manifest: str) -> None:
        """Cancel a rollout at a host because a newer version replaces it.

        :param host: the host.
        :param manifest: digest of the manifest that is replaced.
        """
        fetcher = host.fetchers.get(manifest)
        if fetcher is not None:
            self.deliver(
                host, lambda: self.handle_fetch_message(host, fetcher, RolloutCancelled(manifest))
            )

    def kill_host(self, host: Host) -> None:
        """Crash a host; the others detect the crash some seconds later.

        :param host: the host.
        """
        host.alive = False
        own_requests = [number for number, request in self.requests.items() if request.host is host]
        for number in (*own_requests, *host.server.uploads):
            self.remove_request(number)
        self.time.schedule(self.time.now + CRASH_DETECTION_S, lambda: self.report_crash(host))

    def schedule_crash(self, host: Host, time: float) -> None:
        """Schedule the crash of a host.

        :param host: the host.
        :param time: virtual time in seconds.
        """
        self.time.schedule(time, lambda: self.kill_host(host))

    def schedule_stall(self, host: Host, time: float, seconds: float) -> None:
        """Schedule a stall of the links of a host.

        :param host: the host.
        :param time: virtual time in seconds.
        :param seconds: duration of the stall.
        """
        self.time.schedule(time, lambda: self.stall_host(host, seconds))

    def report_crash(self, host: Host) -> None:
        """Report the crash of a host to the fetchers of all hosts."""
        for other in self.hosts.values():
            for fetcher in tuple(other.fetchers.values()):
                self.handle_fetch_message(other, fetcher, ParticipantLost(host.member.host))

    def stall_host(self, host: Host, seconds: float) -> None:
        """Stall the links of a host for some time.

        :param host: the host.
        :param seconds: duration of the stall.
        """
        host.stalled = True
        until = self.time.now + seconds
        host.up.stall(until)
        host.down.stall(until)
        self.time.schedule(until, lambda: self.resume(host))

    def resume(self, host: Host) -> None:
        """Resume the links of a host and deliver the messages that waited for them."""
        host.stalled = False
        pending_messages = tuple(host.inbox)
        host.inbox.clear()
        for callback in pending_messages:
            self.deliver(host, callback)

    def send(self, host: Host, callback: Callable[[], None]) -> None:
        """Deliver a message to a host after the network latency."""
        self.time.schedule(self.time.now + LATENCY_S, lambda: self.deliver(host, callback))

    def deliver(self, host: Host, callback: Callable[[], None]) -> None:
        """Deliver a message to a host now, or when its links resume."""
        if host.stalled:
            host.inbox.append(callback)
        elif host.alive:
            callback()

    def send_heartbeats(self, host: Host) -> None:
        """Report the uploads and sources of a host as alive, as its heartbeats would."""
        if not host.alive:
            return
        self.time.schedule(self.time.now + self.heartbeat_s, lambda: self.send_heartbeats(host))
        if host.stalled:
            return
        for number in tuple(host.server.uploads):
            self.report_upload_progress(host, number)
        for fetcher in tuple(host.fetchers.values()):
            self.report_live_sources(host, fetcher)

    def report_upload_progress(self, host: Host, number: int) -> None:
        """Report to a server that one of its uploads progresses."""
        request = self.requests.get(number)
        if request is not None and request.host.is_responsive:
            self.handle_serve_message(host, UploadProgressed(number))

    def report_live_sources(self, host: Host, fetcher: Fetcher) -> None:
        """Report to a fetcher which of its sources are alive."""
        peers = sorted({flight.source.host for flight in fetcher.active_fetches.values()})
        for peer in peers:
            if not peer or self.hosts[peer].is_responsive:
                self.handle_fetch_message(host, fetcher, SourceAlive(peer))

    def handle_fetch_message(self, host: Host, fetcher: Fetcher, message: FetchMessage) -> None:
        """Pass a message to a fetcher and perform the resulting actions."""
        if host.alive:
            for action in fetcher.handle(message, self.time.now):
                self.perform_fetch_action(host, fetcher, action)

    def handle_serve_message(self, host: Host, message: ServeMessage) -> None:
        """Pass a message to a server and perform the resulting actions."""
        if host.alive:
            for action in host.server.handle(message, self.time.now):
                self.perform_serve_action(host, action)

    def perform_fetch_action(self, host: Host, fetcher: Fetcher, action: FetchAction) -> None:
        """Perform an action of a fetcher."""
        match action:
            case FetchChunk():
                self.request_chunk(host, fetcher, action)
            case CancelFetch():
                self.cancel_fetch(host, action)
            case StoreChunk(manifest, index):
                self.handle_serve_message(host, ChunkStored(manifest, index))
                self.handle_fetch_message(host, fetcher, ChunkStored(manifest, index))
            case CheckOrigin(manifest):
                origin_checked = OriginChecked(manifest, self.published[manifest])
                self.send(host, lambda: self.handle_fetch_message(host, fetcher, origin_checked))
            case DiscardChunks(manifest):
                self.handle_serve_message(host, ManifestDropped(manifest))
            case ChunksComplete(manifest):
                self.completed[manifest, host.member.host] = self.time.now
            case RolloutFailed(manifest, code):
                self.failed[manifest, host.member.host] = code
            case ScheduleTick(time):
                self.schedule_wakeup(
                    host,
                    fetcher.digest,
                    time,
                    lambda: self.handle_fetch_message(host, fetcher, Tick()),
                )

    def perform_serve_action(self, host: Host, action: ServeAction) -> None:
        """Perform an action of a server."""
        match action:
            case SendChunk(number):
                self.send_chunk(host, number)
            case RefuseRequest(number, code):
                request = self.remove_request(number)
                if request is not None:
                    self.report_failure(request, code)
            case ScheduleTick(time):
                self.schedule_wakeup(
                    host, '', time, lambda: self.handle_serve_message(host, Tick())
                )

    def schedule_wakeup(
        self, host: Host, name: str, time: float, callback: Callable[[], None]
    ) -> None:
        """Schedule the wake-up of a fetcher or server in place of its previous one."""
        previous_wakeup = host.wakeups.get(name)
        if previous_wakeup is not None:
            previous_wakeup.cancelled = True
        host.wakeups[name] = self.time.schedule(time, callback)

    def request_chunk(self, host: Host, fetcher: Fetcher, action: FetchChunk) -> None:
        """Fetch a chunk from the origin or request it from a peer."""
        self.serial += 1
        manifest = fetcher.manifest
        size = manifest.sizes[action.index] if manifest else 0
        request = Request(self.serial, host, action, size)
        self.requests[request.number] = request
        self.request_numbers[self.request_key(host, action)] = request.number
        if action.source.is_origin:
            links = (self.origin, self.region_down[host.member.region], host.down)
            self.start_transfer(request, links, lambda: self.complete_transfer(request))
            return
        peer = self.hosts[action.source.host]
        chunk_request = ChunkRequested(
            request.number,
            host.member.host,
            action.manifest,
            action.index,
            action.source.tier,
        )
        self.send(peer, lambda: self.deliver_request(peer, chunk_request))

    def deliver_request(self, peer: Host, chunk_request: ChunkRequested) -> None:
        """Deliver a request to a server, unless it was cancelled in transit."""
        if chunk_request.request in self.requests:
            self.handle_serve_message(peer, chunk_request)

    def send_chunk(self, host: Host, number: int) -> None:
        """Send a chunk from one host to another, unless the request was cancelled."""
        if number not in self.requests:
            self.handle_serve_message(host, RequestCancelled(number))
            return
        request = self.requests[number]
        source, target = host.member, request.host.member
        region_links: tuple[Link, ...] = ()
        if source.region != target.region:
            region_links = (self.region_up[source.region], self.region_down[target.region])
        links = (host.up, *region_links, request.host.down)
        self.start_transfer(request, links, lambda: self.complete_upload(host, request))

    def complete_upload(self, host: Host, request: Request) -> None:
        """Report to both hosts that a chunk was sent."""
        self.complete_transfer(request)
        self.handle_serve_message(host, UploadEnded(request.number))

    def complete_transfer(self, request: Request) -> None:
        """Deliver a chunk to the fetcher that requested it, with its digest checked."""
        self.remove_request(request.number)
        action = request.action
        intact = self.rng.random() >= self.corrupt_share
        current = self.published[action.manifest] == action.manifest
        verified = intact and (current or not action.source.is_origin)
        self.deliver_chunk(request, verified=verified)

    def deliver_chunk(self, request: Request, *, verified: bool) -> None:
        """Deliver a chunk and the result of its digest check to a fetcher."""
        action = request.action
        fetcher = request.host.fetchers[action.manifest]
        message = ChunkReceived(action.manifest, action.index, action.source, verified)
        self.handle_fetch_message(request.host, fetcher, message)

    def report_failure(self, request: Request, code: Code) -> None:
        """Report to a fetcher that its request failed."""
        action = request.action
        fetcher = request.host.fetchers[action.manifest]
        message = SourceFailed(action.manifest, action.index, action.source, code)
        self.send(request.host, lambda: self.handle_fetch_message(request.host, fetcher, message))

    def cancel_fetch(self, host: Host, action: CancelFetch) -> None:
        """Cancel a fetch that its host no longer needs."""
        number = self.find_request_number(host, action)
        request = self.remove_request(number)
        if request is not None and not action.source.is_origin:
            peer = self.hosts[action.source.host]
            self.send(peer, lambda: self.handle_serve_message(peer, RequestCancelled(number)))

    def find_request_number(self, host: Host, action: CancelFetch) -> int:
        """Return the number of a request in progress, or 0 if there is none."""
        return self.request_numbers.get(self.request_key(host, action), 0)

    def start_transfer(
        self, request: Request, links: tuple[Link, ...], callback: Callable[[], None]
    ) -> None:
        """Start a transfer for a request."""
        self.flows[request.number] = self.network.start(links, request.size, callback)

    def remove_request(self, number: int) -> Request | None:
        """Remove a request and cancel its transfer."""
        flow = self.flows.pop(number, None)
        if flow is not None:
            self.network.cancel(flow)
        request = self.requests.pop(number, None)
        if request is not None:
            self.request_numbers.pop(self.request_key(request.host, request.action), None)
        return request

    def request_key(
        self,
        host: Host,
        action: FetchChunk | CancelFetch,
    ) -> tuple[str, str, int, str]:
        """Return the key by which a request is found when it is cancelled."""
        return (host.member.host, action.manifest, action.index, action.source.host)

    def has_unfinished_fetches(self) -> bool:
        """Return whether a live host is still fetching."""
        return any(
            host.alive and fetcher.phase is Phase.fetching
            for host in self.hosts.values()
            for fetcher in host.fetchers.values()
        )


__all__ = (
    'Host',
    'Rates',
    'Request',
    'Rollout',
    'Swarm',
)
