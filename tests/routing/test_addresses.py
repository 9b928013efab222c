"""Tests of the addresses that callers are given."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from cassiahitch.routing.addresses import EntryRegistry, EntryState


def make_book(entries: int = 9, seed: int = 0) -> EntryRegistry:
    book = EntryRegistry('lagos', Random(seed))
    for index in range(entries):
        name = f'entry-{index}'
        state = EntryState(
            name, f'10.0.0.{index}', 'lagos', f'd{index % 3}', ready=True, stopping=False, load=0
        )
        book.update(state, 0)
    return book


def named(book: EntryRegistry, answers: int) -> Counter[str]:
    return Counter(
        address.address for _ in range(answers) for address in book.response(1).addresses
    )


def test_answer_holds_one_entry_of_each_failure_domain() -> None:
    book = make_book()
    for _ in range(50):
        numbers = [int(found.address.rsplit('.', 1)[1]) for found in book.response(1).addresses]
        assert {number % 3 for number in numbers} == {0, 1, 2}


def test_burst_of_callers_is_spread_over_all_entries() -> None:
    counts = named(make_book(), 900)
    assert len(counts) == 9
    assert max(counts.values()) < 1.25 * 300


def test_loaded_entry_is_named_less() -> None:
    book = make_book()
    book.update(replace(book.entries['entry-0'], load=0.9), 0)
    counts = named(book, 900)
    assert counts['10.0.0.0'] < 0.3 * counts['10.0.0.3']


def test_leaving_entry_disappears_at_once_and_for_good() -> None:
    book = make_book()
    stopping = replace(book.entries['entry-0'], stopping=True)
    book.update(stopping, 1)
    book.update(replace(stopping, stopping=False), 1)
    assert named(book, 300)['10.0.0.0'] == 0


def test_entry_without_configuration_or_news_is_not_named() -> None:
    book = make_book()
    book.update(replace(book.entries['entry-0'], ready=False), 1)
    assert named(book, 300)['10.0.0.0'] == 0
    assert not book.response(60).addresses


def test_lifetimes_differ_so_that_callers_do_not_return_together() -> None:
    book = make_book()
    lifetimes = [book.response(1).lifetime_s for _ in range(100)]
    assert max(lifetimes) - min(lifetimes) > 8
