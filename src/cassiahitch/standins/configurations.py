"""Configurations of the sites of stand-ins, as the operator writes them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

MODEL = 'm1'
CHUNK_COUNT = 12
CHUNK_BYTES = 4096
MODEL_SERVICE = 'drafts'
PLAIN_SERVICE = 'desk'
ORIGIN = 'origin'
FAILURE_DOMAINS = ('north-1', 'south-1')
CALLER_API_KEY = 'key-of-caterers'


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a configuration says of requests: times in milliseconds, size in bytes."""

    timeout_ms: int
    objective_ms: int
    body_bytes: int


def initial_configuration(origin: str) -> dict[str, Any]:
    """Return a configuration with a stream, an idempotent route and one that is not.

    :param origin: address of the origin of weights.
    :return: JSON values.
    """
    engine = {
        'slots': 4,
        'passSteps': 6,
        'models': [{'name': MODEL}],
        'step_ms': 1.0,
        'read_per_s': 30_000.0,
        'usual': {'prompt': 100, 'answer': 30},
        'chunkBytes': CHUNK_BYTES,
        'chunkCount': CHUNK_COUNT,
    }
    shared = {'host': 'menus.example', 'timeoutMs': 4000, 'targetLatencyMs': 400, 'priority': 1}
    return {
        'version': 1,
        'routes': [
            {
                **shared,
                'name': 'draft',
                'prefix': '/draft/',
                'kind': 'streaming',
                'service': MODEL_SERVICE,
                'maxAttempts': 2,
                'streamResume': True,
                'gapAimMs': 300,
            },
            {
                **shared,
                'name': 'lookup',
                'prefix': '/lookup/',
                'kind': 'idempotent',
                'service': PLAIN_SERVICE,
                'maxAttempts': 2,
            },
            {
                **shared,
                'name': 'order',
                'prefix': '/order/',
                'kind': 'non_idempotent',
                'service': PLAIN_SERVICE,
                'maxAttempts': 1,
            },
        ],
        'services': [
            {'name': MODEL_SERVICE, 'maxConnections': 100, 'engine': engine},
            {'name': PLAIN_SERVICE, 'maxConnections': 100},
            {'name': ORIGIN, 'origin': origin, 'zone': FAILURE_DOMAINS[0], 'maxConnections': 20},
        ],
        'limits': {'maxHeaderBytes': 16_384, 'maxBodyBytes': 100_000, 'idleTimeoutMs': 15_000},
        'tenants': [{'name': 'caterers', 'apiKeys': [CALLER_API_KEY], 'priority': 1}],
    }


def with_request_limits(configuration: Mapping[str, Any], bounds: RequestLimits) -> dict[str, Any]:
    """Return a configuration with other bounds of requests.

    :param configuration: JSON values.
    :param bounds: the bounds, of all routes.
    :return: JSON values.
    """
    times = {'timeoutMs': bounds.timeout_ms, 'targetLatencyMs': bounds.objective_ms}
    return {
        **configuration,
        'routes': [{**route, **times} for route in configuration['routes']],
        'limits': {**configuration['limits'], 'maxBodyBytes': bounds.body_bytes},
    }


def with_organisations(
    configuration: Mapping[str, Any], organisations: Mapping[str, str]
) -> dict[str, Any]:
    """Return a configuration with other organisations.

    :param configuration: JSON values.
    :param organisations: their names by their keys.
    :return: JSON values.
    """
    held = [{'name': name, 'apiKeys': [key], 'priority': 1} for key, name in organisations.items()]
    return {**configuration, 'tenants': held}


def organisations_by_key(configuration: Mapping[str, Any]) -> dict[str, str]:
    """Return the organisations of a configuration.

    :param configuration: JSON values.
    :return: their names by their first keys.
    """
    return {one['apiKeys'][0]: one['name'] for one in configuration['tenants']}


__all__ = (
    'CHUNK_COUNT',
    'CHUNK_BYTES',
    'PLAIN_SERVICE',
    'FAILURE_DOMAINS',
    'MODEL_SERVICE',
    'CALLER_API_KEY',
    'MODEL',
    'RequestLimits',
    'initial_configuration',
    'organisations_by_key',
    'with_request_limits',
    'with_organisations',
)
