"""Tests that only the adapter of the platform contains the platform's names."""

from __future__ import annotations

import re
from pathlib import Path

from cassiahitch.platform import names

SOURCES = Path(__file__).parents[2] / 'src' / 'cassiahitch'
ADAPTER = SOURCES / 'platform'
#: Names of fields and parameters that only the platform uses.
FIELDS = (
    'rowVersion',
    'sinceRev',
    'waitTimeoutMs',
    'setKeys',
    'hasMore',
    'sampleCount',
    'chunkDigests',
    'loadMode',
    'trafficSplit',
    'targetLatencyMs',
    'gapAimMs',
    'streamResume',
    'maxAttempts',
    'apiKeys',
    'healthPath',
    'kvUsedTokens',
    'non_idempotent',
    'tenants',
)
#: Stand-ins of the platform, which use its field names but import the names of headers and paths.
STANDINS = frozenset(('rowstore.py', 'backends.py', 'weightservice.py', 'configurations.py'))


def sources_outside_adapter() -> list[Path]:
    return [
        path
        for path in SOURCES.rglob('*.py')
        if ADAPTER not in path.parents and path.name not in STANDINS
    ]


def occurrences(words: tuple[str, ...], paths: list[Path]) -> list[str]:
    pattern = re.compile('|'.join(re.escape(word) for word in words))
    return [
        f'{path.name}: {match.group()}'
        for path in paths
        for match in pattern.finditer(path.read_text(encoding='utf-8'))
    ]


def test_headers_and_paths_of_the_platform_occur_only_in_its_adapter() -> None:
    standins = list((SOURCES / 'standins').glob('*.py'))
    words = ('X-Cassiahitch-', '/v1/rows-', '/v1/stage-', '/v1/piece', '/v1/lookup', 'sampleCount')
    assert occurrences(words, sources_outside_adapter() + standins) == []


def test_fields_of_the_platform_occur_only_in_its_adapter() -> None:
    assert occurrences(FIELDS, sources_outside_adapter()) == []


def test_adapter_contains_the_names_of_the_platform() -> None:
    assert names.ATTEMPT_ID.startswith('X-Cassiahitch-')
    assert occurrences(FIELDS, list(ADAPTER.glob('*.py')))
