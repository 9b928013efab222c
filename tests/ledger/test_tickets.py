"""Tests of tickets."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError
from cassiahitch.ledger.tickets import Ticket, TicketIssuer

WALL = 1_800_000_000.5
URL_SAFE = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_'


def make_issuer(*secrets: bytes) -> TicketIssuer:
    return TicketIssuer(secrets or (b'secret',), 5, 60)


def test_ticket_of_one_entry_is_verified_by_another() -> None:
    text = make_issuer().issue('10.0.0.7', 9, WALL)
    other = TicketIssuer((b'newer', b'secret'), 6, 60)
    assert other.verify(text, WALL) == Ticket('10.0.0.7', 9, 5, 1, 1_800_000_060)


def test_tickets_are_unique() -> None:
    issuer = make_issuer()
    assert len({issuer.issue('host', 9, WALL) for _ in range(50)}) == 50


def test_expired_ticket_may_have_run() -> None:
    text = make_issuer().issue('host', 9, WALL)
    with pytest.raises(RequestError) as caught:
        make_issuer().verify(text, WALL + 61)
    assert (caught.value.code, caught.value.ran) == (Code.key_expired, HasRun.unknown)


def test_ticket_of_another_secret_is_refused() -> None:
    with pytest.raises(RequestError) as caught:
        make_issuer(b'other').verify(make_issuer().issue('host', 9, WALL), WALL)
    assert (caught.value.code, caught.value.ran) == (Code.ticket_invalid, HasRun.no)


@given(position=st.integers(0, 200), character=st.sampled_from(URL_SAFE))
def test_changed_ticket_is_refused(position: int, character: str) -> None:
    text = make_issuer().issue('host', 9, WALL)
    position %= len(text)
    changed = text[:position] + character + text[position + 1 :]
    if changed != text:
        with pytest.raises(RequestError, match='ticket_invalid'):
            make_issuer().verify(changed, WALL)


@pytest.mark.parametrize('host', ['a', 'ab', 'abc'])
def test_only_the_canonical_text_of_a_ticket_is_accepted(host: str) -> None:
    text = make_issuer().issue(host, 9, WALL)
    others = {text[:-1] + last for last in URL_SAFE} | {f'{text}=', f'{text}!', f'!{text}'}
    for other in others - {text}:
        with pytest.raises(RequestError, match='ticket_invalid'):
            make_issuer().verify(other, WALL)


@given(st.text() | st.text(URL_SAFE, min_size=40, max_size=200))
def test_any_other_text_is_refused_as_invalid(text: str) -> None:
    with pytest.raises(RequestError, match='ticket_invalid'):
        make_issuer().verify(text, WALL)
