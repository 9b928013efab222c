"""Tests of the times of queries, from which the ages in replies are counted.

Guards against a declaration that is dated too late since a message was read late.
"""

from __future__ import annotations

from cassiahitch.direct.members.sentqueries import QUERY_EXPIRY_S, SentQueries
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import MemberNews

ADDRESS = '10.0.0.1'
SENDER = Endpoint(ADDRESS, 90)


def test_reply_is_dated_by_the_first_send_of_its_query() -> None:
    queries = SentQueries()
    queries.record(MemberNews(7, asks=True), ADDRESS, 100)
    queries.record(MemberNews(7, asks=True), ADDRESS, 100.2)
    assert queries.sent_at(MemberNews(7), SENDER) == 100


def test_doubled_reply_is_not_dated_again() -> None:
    queries = SentQueries()
    queries.record(MemberNews(7, asks=True), ADDRESS, 100)
    queries.sent_at(MemberNews(7), SENDER)
    assert queries.sent_at(MemberNews(7), SENDER) is None


def test_message_that_replies_to_no_query_of_this_process_is_not_dated() -> None:
    queries = SentQueries()
    queries.record(MemberNews(7, asks=True), ADDRESS, 100)
    assert queries.sent_at(MemberNews(8), SENDER) is None
    assert queries.sent_at(MemberNews(7), Endpoint('10.0.0.2', 90)) is None
    assert queries.sent_at(MemberNews(7, asks=True), SENDER) is None


def test_old_queries_are_forgotten() -> None:
    queries = SentQueries()
    for number in range(100):
        queries.record(MemberNews(number, asks=True), ADDRESS, float(number))
    assert len(queries.times) <= QUERY_EXPIRY_S + 1
