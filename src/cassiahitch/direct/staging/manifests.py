"""Reads manifests from the origin or other agents, and refuses those that are corrupt."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.staging.layout import WeightsLayout
from cassiahitch.errors import PlatformError
from cassiahitch.metrics.names import CounterName

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from cassiahitch.direct.platformapi import Origin
    from cassiahitch.direct.staging.chunks import WeightsId
    from cassiahitch.direct.staging.layout import ManifestDocument
    from cassiahitch.direct.staging.peerclient import PeerClient
    from cassiahitch.direct.statelog import StateLog
    from cassiahitch.metrics.registry import Metrics
    from cassiahitch.weights.manifest import Manifest

#: Seconds from a refused manifest of the origin until the next request, first and at most.
FIRST_DELAY_S = 0.4
LONGEST_DELAY_S = 2.0
#: Largest deviation of a delay, as a fraction of it.
DELAY_JITTER = 0.2
#: Other agents that are queried for a manifest at a time.
MAX_MANIFEST_PEERS = 3
ORIGIN = 'origin'
#: Error of the origin while it is not asked, since it sent a manifest that was refused.
NOT_ASKED = Code.manifest_corrupt
#: Errors of the origin that say more than that it is unavailable.
SPECIFIC_ERRORS = frozenset((Code.manifest_corrupt, Code.object_missing))


@dataclass(slots=True)
class OriginPace:
    """Decides when the origin is asked again after it sent a manifest that was refused.

    Load pattern: the origin sends corrupt manifests for some seconds, all agents wait for a sound
    one, and other agents request chunks of the version from them meanwhile. Each of these reads
    would ask the origin.
    """

    rng: random.Random
    delay_s: float = 0
    due_at: float = float('-inf')

    def record_refusal(self, now: float) -> None:
        """Double the delay.

        :param now: current time in seconds.
        """
        self.delay_s = min(max(FIRST_DELAY_S, 2 * self.delay_s), LONGEST_DELAY_S)
        jitter = self.rng.uniform(1 - DELAY_JITTER, 1 + DELAY_JITTER)
        self.due_at = now + jitter * self.delay_s

    def record_success(self) -> None:
        """Ask the origin at any time again."""
        self.delay_s = 0
        self.due_at = float('-inf')


@dataclass(slots=True)
class ManifestReader:
    """Reads manifests; ``layout`` is the layout that the configuration declares."""

    origin: Origin
    peers: PeerClient
    log: StateLog
    metrics: Metrics
    rng: random.Random = field(default_factory=random.Random)
    layout: WeightsLayout = field(default_factory=WeightsLayout)
    origin_url: str = ''
    pace: OriginPace = field(init=False)

    def __post_init__(self) -> None:
        """Create the pace of requests to the origin."""
        self.pace = OriginPace(self.rng)

    async def read(self, weights: WeightsId) -> Manifest:
        """Read the manifest of a version from the origin, or else from other agents.

        :param weights: the version.
        :return: its manifest, which has the declared layout.
        :raises PlatformError: if nobody sends it: ``manifest_corrupt`` if the origin sends none
            that has the declared layout, ``object_missing`` if it no longer has the version,
            otherwise ``origin_unavailable``.
        """
        code = NOT_ASKED
        if asyncio.get_running_loop().time() >= self.pace.due_at:
            try:
                manifest = await self.read_from_origin(weights)
            except PlatformError as error:
                code = error.code
            else:
                self.pace.record_success()
                return manifest
        found = await self.read_from_peers(weights)
        if found is not None:
            return found
        raise PlatformError(
            code if code in SPECIFIC_ERRORS else Code.origin_unavailable,
            'neither the origin nor another agent sent the manifest',
        )

    async def read_from_origin(self, weights: WeightsId) -> Manifest:
        """Read a manifest from the origin.

        :param weights: the version.
        :return: its manifest.
        :raises PlatformError: ``manifest_corrupt``, ``origin_unavailable`` or ``object_missing``.
        """
        request = self.origin.manifest(self.origin_url, weights.model, weights.version)
        try:
            return await self.accept(weights, request, ORIGIN)
        except PlatformError as error:
            if error.code is Code.manifest_corrupt:
                self.pace.record_refusal(asyncio.get_running_loop().time())
            raise

    async def read_from_peers(self, weights: WeightsId) -> Manifest | None:
        """Read a manifest from the first of some other agents that sends it.

        Load pattern: during an upgrade, agents of an earlier release may pass on manifests that
        they did not check.

        :param weights: the version.
        :return: its manifest, None if none of them sends a sound one.
        """
        for address in self.peers.next_addresses(MAX_MANIFEST_PEERS):
            with suppress(PlatformError):
                request = self.peers.fetch_manifest(address, weights)
                return await self.accept(weights, request, address)
        return None

    async def accept(
        self, weights: WeightsId, request: Awaitable[ManifestDocument], source: str
    ) -> Manifest:
        """Wait for a manifest, and check it.

        :param weights: the version.
        :param request: the request, which returns what was received.
        :param source: the host that sends it, or ``origin``.
        :return: the manifest.
        :raises PlatformError: of the request, or ``manifest_corrupt``.
        """
        try:
            document = await request
            # Another layout may have been declared meanwhile.
            return self.layout.accept(weights, document)
        except PlatformError as error:
            if error.code is Code.manifest_corrupt:
                self.log.state_changed(
                    'manifest refused',
                    weights=weights.version,
                    source=source,
                    detail=error.detail,
                )
                label = ORIGIN if source == ORIGIN else 'agent'
                self.metrics.count(CounterName.manifests_refused, label)
            raise


__all__ = (
    'ManifestReader',
    'OriginPace',
)
