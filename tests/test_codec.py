"""Peer frames: round trip, authentication and damaged input."""

import pytest
from hypothesis import given, strategies as st

from lavendermast.codec import Envelope, FrameCodec
from lavendermast.exceptions import MessageError
from lavendermast.messages_model import MemberUpdate, Piggyback, Ping

KEY = b"0123456789abcdef"


def make_frame(codec):
    update = MemberUpdate(vm="b", boot_id=2**63, state="leaving", zone="z1")
    ping = Ping(sequence=3, piggyback=Piggyback(updates=(update,)))
    return codec.encode(Envelope("a", 9, 1_700_000_000_000, ping)), ping


def test_round_trip_keeps_every_field():
    codec = FrameCodec({1: KEY}, 1)
    frame, ping = make_frame(codec)
    assert codec.decode(frame).body == ping


def test_frame_signed_with_a_retired_key_still_verifies():
    """
    Guards against dropped frames during a key rotation.

    Peers sign with the old key until they reload their keys.
    """
    frame, _ = make_frame(FrameCodec({1: KEY}, 1))
    codec = FrameCodec({2: KEY[::-1], 1: KEY}, 2)
    assert codec.decode(frame).sender == "a"


def test_foreign_key_is_refused():
    """Guards against an unrelated process that joins the fleet or sends messages."""
    frame, _ = make_frame(FrameCodec({1: KEY[::-1]}, 1))
    with pytest.raises(MessageError) as caught:
        FrameCodec({1: KEY}, 1).decode(frame)
    assert caught.value.reason == "bad_tag"


@given(st.data())
def test_damaged_frames_raise_only_message_errors(data):
    """Guards the receiving task against input that ends it."""
    codec = FrameCodec({1: KEY}, 1)
    frame, _ = make_frame(codec)
    cut = data.draw(st.integers(0, len(frame)))
    damaged = bytearray(frame[:cut] + data.draw(st.binary(max_size=40)))
    if bytes(damaged) == frame:
        return
    with pytest.raises(MessageError):
        codec.decode(bytes(damaged))


@given(st.binary(max_size=200))
def test_authenticated_garbage_raises_only_message_errors(payload):
    """Guards against a member that runs other software."""
    codec = FrameCodec({1: KEY}, 1)
    head = bytes((1, 1))
    frame = head + codec._compute_tag(1, head + payload) + payload
    try:
        codec.decode(frame)
    except MessageError as error:
        assert error.reason in {"malformed", "truncated"}
