"""Tests that bounded logs never block a process and report how many lines they omit."""

from __future__ import annotations

import json
import logging
import os
import threading
from types import SimpleNamespace
from typing import Any

import pytest

from cassiahitch.metrics import logs as logs_module
from cassiahitch.metrics.logs import BoundedHandler, SecretFormatter


def make_handler(descriptor: int, lines_per_s: int) -> BoundedHandler:
    handler = BoundedHandler(descriptor, lines_per_s)
    handler.setFormatter(SecretFormatter(()))
    return handler


def make_record(message: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord('cassiahitch.requests', level, '', 0, message, None, None)


def read_lines(descriptor: int) -> list[dict[str, Any]]:
    return [json.loads(line) for line in os.read(descriptor, 1_000_000).splitlines()]


def test_lines_beyond_the_budget_are_counted_and_warnings_have_their_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(logs_module, 'time', SimpleNamespace(monotonic=lambda: 5))
    reader, writer = os.pipe()
    logs = make_handler(writer, 2)
    for number in range(5):
        logs.emit(make_record(f'line {number}'))
    logs.emit(make_record('failed', logging.WARNING))
    written = read_lines(reader)
    assert [line['message'] for line in written] == ['line 0', 'line 1', 'failed']
    assert written[-1]['omitted_lines'] == 3


def test_shutdown_line_is_written_despite_many_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(logs_module, 'time', SimpleNamespace(monotonic=lambda: 5))
    reader, writer = os.pipe()
    logs = make_handler(writer, 1)
    for level in (logging.INFO, logging.WARNING):
        for _ in range(2):
            logs.emit(logging.LogRecord('cassiahitch.requests', level, '', 0, 'a', None, None))
    logs.emit(logging.LogRecord('cassiahitch.stop', logging.INFO, '', 0, 'stopped', None, None))
    assert [line['message'] for line in read_lines(reader)] == ['a', 'a', 'stopped']


def test_reader_that_does_not_keep_up_blocks_nothing() -> None:
    reader, writer = os.pipe()
    logs = make_handler(writer, 10**9)
    for number in range(3000):
        logs.emit(make_record(f'line {number} {"x" * 100}'))
    assert logs.omitted > 0
    os.set_blocking(reader, False)
    while logs.omitted:
        os.read(reader, 1_000_000)
        logs.emit(make_record('later'))
    text = os.read(reader, 1_000_000)
    assert b'omitted_lines' in text


def test_closed_reader_raises_no_error() -> None:
    reader, writer = os.pipe()
    logs = make_handler(writer, 10)
    os.close(reader)
    logs.emit(make_record('not read'))
    assert not logs.unwritten_bytes


def test_last_line_is_written_when_its_reader_is_late() -> None:
    reader, writer = os.pipe()
    logs = make_handler(writer, 10**9)
    while not logs.unwritten_bytes:
        logs.emit(make_record('x' * 1000))
    logs.unwritten_bytes = b'%blast\n' % logs.unwritten_bytes
    delayed_read = threading.Timer(logs_module.FLUSH_TIMEOUT_S / 4, os.read, (reader, 1_000_000))
    delayed_read.start()
    logs.close()
    delayed_read.join()
    assert os.read(reader, 1_000_000).endswith(b'last\n')


def test_stalled_reader_does_not_block_the_close() -> None:
    _, writer = os.pipe()
    logs = make_handler(writer, 10**9)
    while not logs.unwritten_bytes:
        logs.emit(make_record('x' * 1000))
    logs.close()
    assert logs.unwritten_bytes
