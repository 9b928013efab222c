"""Names of the platform's headers, calls, tables and words."""

from __future__ import annotations

from types import MappingProxyType

#: Identifies one attempt of a caller; a backend server echoes it.
ATTEMPT_ID = 'X-Cassiahitch-Attempt-Id'
#: How long the caller still waits, in milliseconds.
DEADLINE_MS = 'X-Cassiahitch-Deadline-Ms'
#: API key of the caller's organisation.
API_KEY = 'X-Cassiahitch-Key'
#: Name of the organisation, for the backend server.
ORGANISATION = 'X-Cassiahitch-Tenant'
#: Signature of a backend server under its answer.
RESPONSE_SEAL = 'X-Cassiahitch-Response-Seal'
#: The backend server did not run the request.
NOT_EXECUTED = 'X-Cassiahitch-Not-Executed'
#: Holds 1 in all answers of a backend server that leaves.
SERVER_LEAVING = 'Server-Leaving'
#: Any other backend server refuses the request.
EXPECTED_REPLICA = 'X-Cassiahitch-Expect-Instance'
#: Any other version of the weights refuses the request.
EXPECTED_VERSION = 'X-Cassiahitch-Expect-Version'
#: Rank in the queue of a backend server, 0 to 9, 0 first.
QUEUE_RANK = 'X-Cassiahitch-Request-Priority'
#: Model that a request is for.
MODEL = 'X-Cassiahitch-Model'
#: Number of tokens of the prompt and of the longest answer.
TOKEN_COUNTS = 'X-Cassiahitch-Token-Count'
#: Number of tokens of the answer that the caller expects.
EXPECTED_TOKENS = 'X-Cassiahitch-Length-Hint'
#: Number of the last event that the caller has.
LAST_EVENT = 'Last-Event-Id'

#: Position of a chunk in a query; the platform's name speaks of a count.
CHUNK_INDEX = 'sampleCount'

READY_PATH = '/v1/ready'
ADDRESSES_PATH = '/v1/lookup'
READ_ROWS_PATH = '/v1/rows-get'
READ_CHANGES_PATH = '/v1/rows-feed'
COMMIT_PATH = '/v1/rows-tx'
REPORT_PATH = '/v1/report'
ORDER_PATH = '/v1/order'
MANIFEST_PATH = '/v1/manifest'
ORIGIN_CHUNK_PATH = '/v1/piece'
STORE_CHUNK_PATH = '/v1/stage-put'
READ_CHUNK_PATH = '/v1/stage-get'

#: Table of what the operator declares.
OPERATOR_TABLE = 'op'
#: Table in which backend servers register themselves.
REPLICA_TABLE = 'servers'
CONFIGURATION_KEY = 'config'
#: Start of the keys of declared versions of weights.
VERSION_PREFIX = 'version/'

#: Repetition that the platform's kinds of route allow, by our names.
REPEAT_POLICIES = MappingProxyType(
    {'idempotent': 'idempotent', 'non_idempotent': 'once', 'streaming': 'stream'}
)

__all__ = (
    'ADDRESSES_PATH',
    'API_KEY',
    'ATTEMPT_ID',
    'CHUNK_INDEX',
    'COMMIT_PATH',
    'CONFIGURATION_KEY',
    'DEADLINE_MS',
    'EXPECTED_REPLICA',
    'EXPECTED_TOKENS',
    'EXPECTED_VERSION',
    'LAST_EVENT',
    'SERVER_LEAVING',
    'MANIFEST_PATH',
    'MODEL',
    'NOT_EXECUTED',
    'OPERATOR_TABLE',
    'ORDER_PATH',
    'ORGANISATION',
    'ORIGIN_CHUNK_PATH',
    'QUEUE_RANK',
    'READY_PATH',
    'READ_CHANGES_PATH',
    'READ_CHUNK_PATH',
    'READ_ROWS_PATH',
    'REPEAT_POLICIES',
    'REPLICA_TABLE',
    'REPORT_PATH',
    'RESPONSE_SEAL',
    'STORE_CHUNK_PATH',
    'TOKEN_COUNTS',
    'VERSION_PREFIX',
)
