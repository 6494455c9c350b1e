"""Tests of the frames of peer messages."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cyclamenscale.errors import FrameError
from cyclamenscale.members.messages import (
    MESSAGE_TYPES,
    Heartbeat,
    SlotBatch,
    SlotRequestItem,
    decode_frame,
    encode_frame,
)

LIMIT_BYTES = 4096
BEAT = Heartbeat("e1", 3, "127.0.0.1:1", "dc-1", 12, 4, 9, True)


def test_frames_decode_to_what_was_encoded():
    """Guards against fields that are lost or change type on the wire."""
    batch = SlotBatch(
        "e1", "p", 1, False, [SlotRequestItem(7, "c", 20)], [], [3], []
    )
    for sent in (BEAT, batch):
        assert decode_frame(encode_frame(sent), LIMIT_BYTES) == sent


@pytest.mark.parametrize(
    ("frame", "reason"),
    [
        (b"", "version"),
        (b"\x63" + encode_frame(BEAT)[1:], "version"),
        (b"\x01\xff" + encode_frame(BEAT)[2:], "type"),
        (encode_frame(BEAT) + b"x", "garbage"),
        (bytes(LIMIT_BYTES + 1), "size"),
    ],
)
def test_bad_frames_are_rejected_with_their_reason(frame, reason):
    """Guards against processing malformed frames and other versions."""
    with pytest.raises(FrameError) as caught:
        decode_frame(frame, LIMIT_BYTES)
    assert caught.value.reason == reason


@given(st.binary(max_size=200))
def test_random_bytes_never_raise_another_error(data):
    """Guards against a crash of the link thread by random bytes."""
    try:
        content = decode_frame(data, LIMIT_BYTES)
    except FrameError:
        return
    assert type(content) in MESSAGE_TYPES.values()
