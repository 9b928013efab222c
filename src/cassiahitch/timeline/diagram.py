"""Diagram of the events of a request or a rollout, as SVG or HTML; each process has a lane."""

from __future__ import annotations

from typing import TYPE_CHECKING
from xml.etree import ElementTree as ET

from cassiahitch.codes import Code
from cassiahitch.timeline.text import format_code, format_time

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cassiahitch.timeline.events import Event

WIDTH_PX = 1000
MARGIN_PX = 160
LANE_PX = 32
MARK_PX = 5
HEAD_PX = 28
LABEL_INDENT_PX = 8
#: Largest number of events in a diagram or a page.
MAX_EVENTS = 20_000

CONTENT_SECURITY_POLICY = "default-src 'none'; style-src 'unsafe-inline'"
PAGE_STYLE = """
body { font: 14px sans-serif; margin: 2em; color: #222; background: #fff; }
table { border-collapse: collapse; margin-top: 2em; }
td, th { border-bottom: 1px solid #ddd; padding: 2px 8px; text-align: left; }
tr.failed { color: #c0392b; }
"""
DIAGRAM_STYLE = """
text { font: 14px sans-serif; fill: #222; }
.lane { stroke: #ccc; } .path { stroke: #888; stroke-opacity: 0.4; fill: none; }
.ok { fill: #2a6fb0; } .failed { fill: #c0392b; }
"""
TABLE_HEADERS = ('', 'time', 'process', 'event', 'request', 'rollout', 'code', 'detail')


class Diagram:
    """Diagram with time on the horizontal axis and one lane for each process."""

    def __init__(self, events: Sequence[Event]) -> None:
        """Create the diagram.

        :param events: the events, in order.
        """
        self.events = events
        self.lanes = {name: lane for lane, name in enumerate(_processes(events))}
        times = [event.clock.physical_ms for event in events] or [0]
        self.start_ms = min(times)
        self.span_ms = max(max(times) - self.start_ms, 1)

    @property
    def height_px(self) -> int:
        """Height of the complete diagram in pixels."""
        return HEAD_PX + LANE_PX * len(self.lanes)

    def svg(self) -> ET.Element:
        """Draw the lanes, the events and a line that connects them in order.

        :return: an SVG element.
        """
        width = 2 * MARGIN_PX + WIDTH_PX
        root = ET.Element(
            'svg',
            {
                'xmlns': 'http://www.w3.org/2000/svg',
                'width': str(width),
                'height': str(self.height_px),
                'role': 'img',
            },
        )
        ET.SubElement(root, 'style').text = DIAGRAM_STYLE
        self._add_scale(root)
        for name, lane in self.lanes.items():
            _add_lane(root, name, _lane_px(lane))
        points = ' '.join(f'{self._x_px(event)},{self._y_px(event)}' for event in self.events)
        ET.SubElement(root, 'polyline', {'class': 'path', 'points': points})
        for event in self.events:
            self._add_mark(root, event)
        return root

    def _add_scale(self, root: ET.Element) -> None:
        attributes = {'x': str(MARGIN_PX + WIDTH_PX), 'y': str(HEAD_PX / 2), 'text-anchor': 'end'}
        ET.SubElement(root, 'text', attributes).text = f'{self.span_ms} ms'

    def _add_mark(self, root: ET.Element, event: Event) -> None:
        attributes = {
            'class': _css_class(event),
            'cx': str(self._x_px(event)),
            'cy': str(self._y_px(event)),
            'r': str(MARK_PX),
        }
        mark = ET.SubElement(root, 'circle', attributes)
        ET.SubElement(mark, 'title').text = ' '.join(_cells(event))

    def _x_px(self, event: Event) -> float:
        fraction = (event.clock.physical_ms - self.start_ms) / self.span_ms
        return round(MARGIN_PX + fraction * WIDTH_PX, 1)

    def _y_px(self, event: Event) -> int:
        return _lane_px(self.lanes[event.process])


def render_svg(events: Sequence[Event]) -> str:
    """Draw the diagram of events as SVG.

    :param events: the events, in order; those after the first ``MAX_EVENTS`` are omitted.
    :return: SVG text.
    """
    return ET.tostring(Diagram(events[:MAX_EVENTS]).svg(), encoding='unicode')


def render_html(title: str, events: Sequence[Event]) -> str:
    """Draw events as an HTML page with their diagram and a table.

    :param title: heading of the page.
    :param events: the events, in order; those after the first ``MAX_EVENTS`` are omitted.
    :return: HTML text without scripts or links.
    """
    drawn = events[:MAX_EVENTS]
    page = ET.Element('html', {'lang': 'en'})
    _add_head(ET.SubElement(page, 'head'), title)
    body = ET.SubElement(page, 'body')
    ET.SubElement(body, 'h1').text = title
    ET.SubElement(body, 'p').text = f'{len(drawn)} of {len(events)} events'
    body.append(Diagram(drawn).svg())
    _add_table(ET.SubElement(body, 'table'), drawn)
    text = ET.tostring(page, encoding='unicode', method='html')
    return f'<!DOCTYPE html>\n{text}\n'


def _processes(events: Sequence[Event]) -> list[str]:
    return sorted({event.process for event in events})


def _lane_px(lane: int) -> int:
    return HEAD_PX + LANE_PX * lane + LANE_PX // 2


def _add_lane(root: ET.Element, name: str, y_px: int) -> None:
    coordinates = {
        'x1': str(MARGIN_PX),
        'x2': str(MARGIN_PX + WIDTH_PX),
        'y1': str(y_px),
        'y2': str(y_px),
    }
    ET.SubElement(root, 'line', {'class': 'lane', **coordinates})
    ET.SubElement(root, 'text', {'x': str(LABEL_INDENT_PX), 'y': str(y_px)}).text = name


def _add_head(head: ET.Element, title: str) -> None:
    ET.SubElement(head, 'meta', {'charset': 'utf-8'})
    ET.SubElement(
        head, 'meta', {'http-equiv': 'Content-Security-Policy', 'content': CONTENT_SECURITY_POLICY}
    )
    ET.SubElement(head, 'title').text = title
    ET.SubElement(head, 'style').text = PAGE_STYLE


def _add_table(table: ET.Element, events: Sequence[Event]) -> None:
    _add_row(table, 'th', TABLE_HEADERS)
    for number, event in enumerate(events, start=1):
        row = _add_row(table, 'td', (str(number), *_cells(event)))
        row.set('class', _css_class(event))


def _add_row(table: ET.Element, tag: str, cells: Sequence[str]) -> ET.Element:
    row = ET.SubElement(table, 'tr')
    for cell in cells:
        ET.SubElement(row, tag).text = cell
    return row


def _cells(event: Event) -> tuple[str, ...]:
    identifiers = (event.request_id, event.rollout_id)
    origin = (format_time(event.clock), event.process, event.kind.value)
    return (*origin, *identifiers, format_code(event.code), event.detail)


def _css_class(event: Event) -> str:
    return 'ok' if event.code is Code.ok else 'failed'


__all__ = (
    'Diagram',
    'render_html',
    'render_svg',
)
