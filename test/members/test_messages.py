"""Tests of the peer frames."""

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


def test_frames_come_back_as_sent():
    """Guards against fields that get lost or change type on the wire."""
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
def test_bad_frames_are_refused_with_their_reason(frame, reason):
    """Guards against frames of other versions taking effect."""
    with pytest.raises(FrameError) as caught:
        decode_frame(frame, LIMIT_BYTES)
    assert caught.value.reason == reason


@given(st.binary(max_size=200))
def test_garbage_never_raises_another_error(data):
    """Guards against a crash of the link thread by garbage."""
    try:
        content = decode_frame(data, LIMIT_BYTES)
    except FrameError:
        return
    assert type(content) in MESSAGE_TYPES.values()
