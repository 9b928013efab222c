"""Configurations of the stand-in sites, in the format that the operator writes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cassiahitch.standins.engineweights import LAYERS

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
    """Limits that a configuration sets on requests: times in milliseconds, size in bytes."""

    timeout_ms: int
    objective_ms: int
    body_bytes: int


def initial_configuration(origin: str) -> dict[str, Any]:
    """Return a configuration with a streaming, an idempotent and an at-most-once route.

    :param origin: address and port of the origin of weights.
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
        'layers': LAYERS,
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


def with_request_limits(configuration: Mapping[str, Any], limits: RequestLimits) -> dict[str, Any]:
    """Return a configuration with other limits on requests.

    :param configuration: JSON values.
    :param limits: the limits for all routes.
    :return: JSON values.
    """
    times = {'timeoutMs': limits.timeout_ms, 'targetLatencyMs': limits.objective_ms}
    return {
        **configuration,
        'routes': [{**route, **times} for route in configuration['routes']],
        'limits': {**configuration['limits'], 'maxBodyBytes': limits.body_bytes},
    }


def with_cold_rate(
    configuration: Mapping[str, Any], cold_s: float, cold_per_s: float
) -> dict[str, Any]:
    """Return a configuration whose services limit the rate of their cold replicas.

    :param configuration: JSON values.
    :param cold_s: seconds for which a replica is cold after its start.
    :param cold_per_s: requests per second that a cold replica accepts.
    :return: JSON values.
    """
    rate = {'coldS': cold_s, 'coldPerS': cold_per_s}
    return {
        **configuration,
        'services': [{**service, **rate} for service in configuration['services']],
    }


def with_organisations(
    configuration: Mapping[str, Any], organisations: Mapping[str, str]
) -> dict[str, Any]:
    """Return a configuration with other organisations.

    :param configuration: JSON values.
    :param organisations: names of the organisations by API key.
    :return: JSON values.
    """
    entries = [
        {'name': name, 'apiKeys': [key], 'priority': 1} for key, name in organisations.items()
    ]
    return {**configuration, 'tenants': entries}


def organisations_by_key(configuration: Mapping[str, Any]) -> dict[str, str]:
    """Return the organisations of a configuration by API key.

    :param configuration: JSON values.
    :return: names of the organisations by their first API key.
    """
    return {entry['apiKeys'][0]: entry['name'] for entry in configuration['tenants']}


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
    'with_cold_rate',
    'with_organisations',
)
