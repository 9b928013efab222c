"""Tests of the encoding of messages as frames."""

from __future__ import annotations

import typing

import pytest
from hypothesis import given
from hypothesis import strategies as st
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from cassiahitch.codes import Code
from cassiahitch.errors import WireError
from cassiahitch.wire import messages
from cassiahitch.wire.codec import Envelope, decode, encode
from cassiahitch.wire.datagrammessages import EngineLoad, EngineWork, PlaceQuery, RequestCost
from cassiahitch.wire.datagrams import decode_datagram, encode_datagram
from cassiahitch.wire.gen.datagrams import ttypes

#: The load that an agent sends which knows no work.
EARLIER_LOAD = {
    'number': 1,
    'incarnation': 0,
    'born_ms': 0,
    'running': 0,
    'waiting': 0,
    'slowness_percent': 0,
    'loading': False,
    'model': '',
    'version': 0,
    'leaving': False,
}
INT32 = st.integers(min_value=-(2**31), max_value=2**31 - 1)
st.register_type_strategy(int, INT32)

MESSAGES = st.one_of(
    *(
        st.from_type(message_type)
        for message_type in typing.get_args(messages.Message)
        if isinstance(message_type, type)
    ),
)


@given(INT32, INT32, MESSAGES)
def test_decoded_message_equals_the_encoded_one(
    number: int, clock: int, message: messages.Message
) -> None:
    envelope = Envelope(number, number, clock, message)
    assert decode(encode(envelope)) == envelope


@given(st.binary(max_size=200))
def test_arbitrary_bytes_give_only_numbered_errors(body: bytes) -> None:
    with pytest.raises(WireError) as raised:
        decode(body)
    assert raised.value.code in {Code.frame_corrupt, Code.message_unknown}


@given(MESSAGES, st.data())
def test_changed_frame_gives_a_message_or_a_numbered_error(
    message: messages.Message,
    choices: st.DataObject,
) -> None:
    body = bytearray(encode(Envelope(1, 0, 0, message)))
    position = choices.draw(st.integers(0, len(body) - 1))
    body[position] ^= choices.draw(st.integers(1, 255))
    try:
        decode(bytes(body))
    except WireError as error:
        assert error.code in {Code.frame_corrupt, Code.message_unknown}


def test_message_with_empty_lists_is_that_of_an_earlier_version_without_them() -> None:
    earlier = ttypes.Datagram(place_query=ttypes.PlaceQuery(number=1, prompt_tokens=2))
    content = serialize(earlier, TCompactProtocolAcceleratedFactory())
    assert encode_datagram(PlaceQuery(1, 2)) == content
    assert decode_datagram(content) == PlaceQuery(1, 2)


def test_load_without_work_is_that_of_an_earlier_version() -> None:
    query = PlaceQuery(1, 2, costs=(RequestCost(120),))
    load = EngineLoad(number=1, work=(EngineWork(60, 900),))
    assert decode_datagram(encode_datagram(query)) == query
    assert decode_datagram(encode_datagram(load)) == load
    without = ttypes.Datagram(load=ttypes.EngineLoad(**EARLIER_LOAD))
    content = serialize(without, TCompactProtocolAcceleratedFactory())
    assert encode_datagram(EngineLoad(number=1)) == content
    assert decode_datagram(content) == EngineLoad(number=1)
