"""Tests of parsing and formatting endpoints."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.util.endpoints import Endpoint, parse_endpoint

ADDRESSES = st.ip_addresses().map(str)
PORTS = st.integers(1, 65_535)


@given(st.builds(Endpoint, ADDRESSES, PORTS))
def test_text_form_reads_back(endpoint: Endpoint) -> None:
    assert parse_endpoint(str(endpoint)) == endpoint


@pytest.mark.parametrize(
    'text',
    [
        '',
        '10.0.0.1',
        'host:1',
        '10.0.0.1:0',
        '10.0.0.1:65536',
        '10.0.0.1:²',
        '::1:5',
        '[10.0.0.1]:5',
    ],
)
def test_other_text_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match='.'):
        parse_endpoint(text)
