"""Tests of JSON log output and of the masking of secrets in them."""

from __future__ import annotations

import io
import json
import logging
from typing import TYPE_CHECKING

import pytest

from cassiahitch.metrics.logs import MASK, configure_logs
from cassiahitch.settings.models import LogLevel

if TYPE_CHECKING:
    from collections.abc import Iterator

SECRET = 'pass"word\tä'


@pytest.fixture
def output() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    handler = configure_logs(LogLevel.info, (SECRET,), stream)
    yield stream
    logging.getLogger().removeHandler(handler)


def test_line_is_json_with_extra_fields(output: io.StringIO) -> None:
    logging.getLogger('cassiahitch.entry').info('revision applied', extra={'revision': 7})
    line = json.loads(output.getvalue())
    assert line['message'] == 'revision applied'
    assert (line['level'], line['logger'], line['revision']) == ('INFO', 'cassiahitch.entry', 7)


def test_secret_is_masked_in_all_parts_of_a_line(output: io.StringIO) -> None:
    error = ValueError(SECRET)
    extra = {'nested': {'deep': [SECRET]}}
    logging.getLogger('x').error('bad %s', SECRET, exc_info=error, extra=extra)
    assert json.dumps(SECRET)[1:-1] not in output.getvalue()
    assert SECRET not in output.getvalue()
    assert json.loads(output.getvalue())['message'] == f'bad {MASK}'


def test_field_with_the_name_of_a_secret_is_masked(output: io.StringIO) -> None:
    logging.getLogger('x').warning('refused', extra={'authorization': 'Bearer abc'})
    assert json.loads(output.getvalue())['authorization'] == MASK
