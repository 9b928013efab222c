"""Tests of the table, the diagram and the HTML page of events."""

from __future__ import annotations

import io
from html.parser import HTMLParser
from typing import TYPE_CHECKING
from xml.etree import ElementTree as ET

from hypothesis import given
from hypothesis import strategies as st
from rich.console import Console

from cassiahitch.clock import ManualClock
from cassiahitch.codes import Code
from cassiahitch.timeline.diagram import render_html, render_svg
from cassiahitch.timeline.events import EventKind
from cassiahitch.timeline.merging import merge
from cassiahitch.timeline.ring import Timeline
from cassiahitch.timeline.text import events_table

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

    from cassiahitch.timeline.events import Event

SCRIPT = '<script>alert("&")</script>'


class TagCollector(HTMLParser):
    """HTML parser that collects the tags and the texts of a page."""

    def __init__(self) -> None:
        super().__init__()
        self.tags: set[str] = set()
        self.text: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.tags.add(tag)

    def handle_data(self, data: str) -> None:
        self.text.append(data)


def make_request_events(detail: str) -> tuple[Event, ...]:
    clock = ManualClock(1_000_000)
    entry = Timeline('entry-1', clock, capacity=9)
    agent = Timeline('agent-1', clock, capacity=9)
    entry.record(EventKind.request_received, request_id='r1')
    clock.advance(0.25)
    agent.record(EventKind.request_started, request_id='r1')
    clock.advance(0.5)
    entry.record(
        EventKind.request_failed,
        request_id='r1',
        code=Code.backend_failed,
        detail=detail,
    )
    return merge((agent.events(), entry.events()))


def test_picture_has_a_lane_for_each_process(snapshot: SnapshotAssertion) -> None:
    assert render_svg(make_request_events('no answer')) == snapshot


def test_page_lists_all_events(snapshot: SnapshotAssertion) -> None:
    assert render_html('request r1', make_request_events('no answer')) == snapshot


@given(st.text(max_size=30).map(lambda text: f'{SCRIPT}{text}'))
def test_text_of_an_event_adds_no_tag(detail: str) -> None:
    page = TagCollector()
    page.feed(render_html(detail, make_request_events(detail)))
    assert 'script' not in page.tags
    assert any(SCRIPT in text for text in page.text)


def test_picture_without_events_is_valid() -> None:
    assert ET.fromstring(render_svg(())).tag.endswith('svg')


def test_text_table_shows_order_code_and_no_escape_sequence() -> None:
    console = Console(file=io.StringIO(), width=200)
    console.print(events_table(make_request_events('[bold]\x1b[2Jgone')))
    assert isinstance(console.file, io.StringIO)
    printed = console.file.getvalue()
    assert printed.index('request_started') < printed.index('request_failed')
    assert '1015 backend_failed' in printed
    assert '[bold]gone' in printed
    assert '\x1b' not in printed
