"""Stateful tests of several concurrent rollouts with faults.

The hosts run the fetchers and servers of the package over the simulated links of the rollout
benchmark.
"""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cassiahitch.bench.swarm import Rates, Rollout, Swarm
from cassiahitch.resources.models import Objective
from cassiahitch.weights.api import ChunksComplete, FetchAction, FetchChunk, StoreChunk
from cassiahitch.weights.manifest import Manifest
from cassiahitch.weights.plan import Participant, build_plan
from cassiahitch.weights.tree import Trees

if TYPE_CHECKING:
    from cassiahitch.bench.swarm import Host, Request
    from cassiahitch.weights.fetcher import Fetcher

HOSTS = 12
MAX_KILLED = 5
MAX_JOINED = 3
REGIONS = 3
CHUNKS = 12
CHUNK_BYTES = 100_000
COPY_BYTES = CHUNKS * CHUNK_BYTES
COMPLETION_TIMEOUT_S = 6_000
#: Number of copies that the origin sends in a rollout without faults.
ORIGIN_COPIES = {Objective.origin_bytes: 1, Objective.time: 3}
#: After a fault, the faulty host and its replacement each fetch every chunk at most once more.
COPIES_PER_FAULT = 2


def make_manifest(version: str) -> Manifest:
    digests = (hashlib.sha256(f'{version} {index}'.encode()) for index in range(CHUNKS))
    chunks = tuple(digest.hexdigest() for digest in digests)
    return Manifest(version, CHUNK_BYTES, chunks, (CHUNK_BYTES,) * CHUNKS, COPY_BYTES)


class CheckedSwarm(Swarm):
    """Counts the chunks that each host received and stored, and checks each action against them."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(Rates(origin=80_000, region=40_000, host=40_000), rng)
        self.verified: Counter[tuple[str, str, int]] = Counter()
        self.stored: Counter[tuple[str, str, int]] = Counter()
        self.corrupted = 0
        self.origin_fetches: Counter[str] = Counter()

    def deliver_chunk(self, request: Request, *, verified: bool) -> None:
        chunk = (request.host.member.host, request.action.manifest, request.action.index)
        self.verified[chunk] += verified
        self.corrupted += not verified
        super().deliver_chunk(request, verified=verified)

    def perform_fetch_action(self, host: Host, fetcher: Fetcher, action: FetchAction) -> None:
        match action:
            case FetchChunk(manifest, index, source):
                assert source.host != host.member.host
                self.origin_fetches[manifest] += source.is_origin
            case StoreChunk(manifest, index):
                chunk = (host.member.host, manifest, index)
                assert manifest == fetcher.digest
                assert self.verified[chunk], 'a chunk was stored that was not verified'
                self.stored[chunk] += 1
            case ChunksComplete(manifest):
                self.check_complete(host.member.host, manifest)
        super().perform_fetch_action(host, fetcher, action)

    def check_complete(self, host: str, manifest: str) -> None:
        store_counts = {self.stored[host, manifest, index] for index in range(CHUNKS)}
        assert store_counts == {1}, 'complete without exactly one copy of every chunk'


class DistributionMachine(RuleBasedStateMachine):
    """Rollouts in which hosts crash, stall and join, chunks are corrupt and versions change."""

    @initialize(seed=st.integers(0, 2**16), objective=st.sampled_from(Objective))
    def start(self, seed: int, objective: Objective) -> None:
        self.swarm = CheckedSwarm(random.Random(seed))
        self.objective = objective
        self.rollouts: dict[str, Rollout] = {}
        self.changed: set[str] = set()
        self.version = 0
        self.faults = 0
        for number in range(HOSTS):
            self.add_host(number)
        self.start_rollout('model')

    def add_host(self, number: int) -> Host:
        region_index = number % REGIONS
        member = Participant(f'h{number:02d}', f'region{region_index}', f'domain{region_index}')
        return self.swarm.add_host(member)

    def start_rollout(self, kind: str) -> None:
        """Start a rollout; it replaces the previous one of the same kind."""
        self.version += 1
        manifest = make_manifest(f'{kind} {self.version}')
        live = [host for host in self.swarm.hosts.values() if host.alive]
        members = tuple(host.member for host in live)
        plan = build_plan('r', manifest.digest, self.objective, members)
        older = self.rollouts.get(kind)
        rollout = Rollout(plan, manifest, Trees(plan), int(kind == 'adapter'))
        self.rollouts[kind] = rollout
        for host in live:
            if older is not None:
                self.swarm.cancel_rollout(host, older.manifest.digest)
            self.swarm.add_rollout(host, rollout)

    def live_hosts(self) -> list[Host]:
        return [host for host in self.swarm.hosts.values() if host.alive]

    @rule(seconds=st.integers(1, 60))
    def advance(self, seconds: int) -> None:
        self.swarm.time.run(self.swarm.time.now + seconds)

    @precondition(lambda machine: len(machine.live_hosts()) > HOSTS - MAX_KILLED)
    @rule(number=st.integers(0, HOSTS - 1))
    def kill(self, number: int) -> None:
        host = self.live_hosts()[number % len(self.live_hosts())]
        if not host.stalled:
            self.faults += 1
            self.swarm.kill_host(host)

    @rule(number=st.integers(0, HOSTS - 1), seconds=st.integers(1, 90))
    def stall(self, number: int, seconds: int) -> None:
        host = self.live_hosts()[number % len(self.live_hosts())]
        if not host.stalled:
            self.faults += 1
            self.swarm.stall_host(host, seconds)

    @precondition(lambda machine: len(machine.swarm.hosts) < HOSTS + MAX_JOINED)
    @rule()
    def join(self) -> None:
        host = self.add_host(len(self.swarm.hosts))
        self.faults += 1
        for rollout in self.rollouts.values():
            self.swarm.add_rollout(host, rollout)

    @rule(percent=st.sampled_from([0, 1, 10, 30]))
    def corrupt(self, percent: int) -> None:
        self.swarm.corrupt_share = percent / 100

    @rule()
    def change_origin(self) -> None:
        digest = self.rollouts['model'].manifest.digest
        self.swarm.published[digest] = 'other content'
        self.changed.add(digest)

    @rule(kind=st.sampled_from(['model', 'adapter']))
    def release(self, kind: str) -> None:
        self.faults += len(self.rollouts)
        self.start_rollout(kind)

    def teardown(self) -> None:
        if not hasattr(self, 'swarm'):
            return
        self.swarm.corrupt_share = 0
        if self.rollouts['model'].manifest.digest in self.changed:
            self.start_rollout('model')
        self.swarm.time.run(
            self.swarm.time.now + COMPLETION_TIMEOUT_S,
            lambda: not self.swarm.has_unfinished_fetches(),
        )
        self.check_completion()
        self.check_bytes()

    def check_completion(self) -> None:
        for rollout in self.rollouts.values():
            digest = rollout.manifest.digest
            for host in self.live_hosts():
                assert (digest, host.member.host) in self.swarm.completed, 'a host is incomplete'

    def check_bytes(self) -> None:
        fault_bytes = (
            self.faults * COPIES_PER_FAULT * COPY_BYTES + self.swarm.corrupted * CHUNK_BYTES
        )
        copies = self.version * COPY_BYTES
        for link in self.swarm.region_down.values():
            assert link.carried <= copies + fault_bytes
        origin = copies * ORIGIN_COPIES[self.objective]
        assert self.swarm.origin.carried <= origin + fault_bytes
        for host in self.swarm.hosts.values():
            assert host.up.carried <= 2 * copies + fault_bytes


DistributionMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=10)
test_every_live_host_completes_one_verified_version = DistributionMachine.TestCase
