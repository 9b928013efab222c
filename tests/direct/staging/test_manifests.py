"""Tests of reading manifests, and of the pace at which the origin is asked for them again."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Any

import pytest
from repositories import make_repository

from cassiahitch.codes import Code
from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.layout import ManifestDocument, WeightsLayout
from cassiahitch.direct.staging.manifests import LONGEST_DELAY_S, ManifestReader, OriginPace
from cassiahitch.direct.staging.peerclient import PeerClient
from cassiahitch.direct.staging.receiving import ReceiveWindow
from cassiahitch.errors import PlatformError


def test_pace_of_the_origin_slows_down_and_is_reset_by_a_sound_manifest() -> None:
    pace = OriginPace(random.Random(1))
    assert pace.due_at < 0
    now, delays = float(0), []
    for _ in range(6):
        pace.record_refusal(now)
        delays.append(pace.due_at - now)
        now = pace.due_at
    assert delays[0] < delays[1] < delays[2]
    assert all(0.8 * LONGEST_DELAY_S <= delay <= 1.2 * LONGEST_DELAY_S for delay in delays[3:])
    pace.record_success()
    assert pace.due_at < now
    pace.record_refusal(now)
    assert pace.due_at - now < LONGEST_DELAY_S / 2


@dataclass
class RedeclaringOrigin:
    """Sends manifests of one chunk while a configuration declares versions of two."""

    reader: ManifestReader | None = None

    async def manifest(self, _url: str, _model: str, _version: int) -> ManifestDocument:
        assert self.reader is not None
        self.reader.layout = WeightsLayout('m1', 2, 64)
        return ManifestDocument(('0' * 64,))


def test_manifest_is_compared_with_the_layout_that_is_declared_when_it_arrives() -> None:
    async def body() -> None:
        unused: Any = None
        origin = RedeclaringOrigin()
        peers = PeerClient(unused, 1, 'west', ReceiveWindow.of_link(1))
        reader = make_repository(unused, origin, peers, WeightsLayout('m1', 1, 64)).manifests
        origin.reader = reader
        with pytest.raises(PlatformError) as caught:
            await reader.read(WeightsId(2, 'm1'))
        assert caught.value.code is Code.manifest_corrupt

    asyncio.run(body())
