"""Tests of the peer link with loopback sockets."""

import zmq

from cyclamenscale.members.messages import (
    ConfigChange,
    EndpointSignal,
    Heartbeat,
    encode_frame,
)
from cyclamenscale.members.peers import MAX_OUTBOX_MESSAGES
from cyclamenscale.standin.state import StoreState
from test.nodes import FAST_SETTINGS, Node, eventually


def make_pair(settings=FAST_SETTINGS, **kwargs):
    """Return two connected entries that do not use the store."""
    one = Node("a", StoreState(), settings=settings, incarnation=5)
    one.start(reader=False)
    seeds = (one.link.address,)
    other = Node("b", StoreState(), seeds, settings, incarnation=5)
    other.start(reader=False)
    pair = (one, other)
    eventually(
        lambda: all(node.link.alive() == ["a", "b"] for node in pair),
        "both entries are alive",
    )
    return pair


def shut_down(*nodes):
    for node in nodes:
        node.shut_down()


def test_messages_reach_handlers_despite_a_failing_handler():
    """Guards against a handler's exception that stops the link."""
    one, other = make_pair()
    try:
        received = []
        one.link.on(EndpointSignal, lambda message: 1 / 0)
        for node in (one, other):
            node.link.on(EndpointSignal, received.append)
        signal = EndpointSignal("a", "i", "leaving")
        assert one.link.send("a", signal) and not one.link.send("x", signal)
        eventually(
            lambda: received == [signal], "the message to itself is handled"
        )
        eventually(
            lambda: one.link.send("b", signal) and len(received) > 1,
            "it arrives",
        )
        assert one.metrics.snapshot()["peers.handler_failures"] == 1
        assert one.link.bytes_sent and other.link.bytes_received
    finally:
        shut_down(one, other)


def test_bad_frames_are_counted_and_dropped():
    """Guards against invalid frames that stop the link or are processed."""
    one, other = make_pair()
    limit_bytes = FAST_SETTINGS.peers.frame_limit_bytes
    beat = Heartbeat("b", 4, "127.0.0.1:1", "", 9, 9, 1, True)
    frames = [
        (b"b/5/%d", b"\x09\x01", "version"),
        (b"b/5/%d", b"\x01\xfe", "type"),
        (b"b/5/%d", b"\x01\x01?", "garbage"),
        (b"b/5/%d", bytes(limit_bytes + 1), "size"),
        (b"c/5/%d", encode_frame(beat), "sender"),
        (b"b/4/%d", encode_frame(beat), "superseded"),
    ]
    try:
        with zmq.Context() as context:
            # A ROUTER accepts one connection per identity.
            for serial, (identity, frame, _) in enumerate(frames, 900):
                with context.socket(zmq.DEALER) as dealer:
                    dealer.identity = identity % serial
                    dealer.connect(f"tcp://{one.link.address}")
                    dealer.send(frame)
                    dealer.linger = 1000
        for *_, reason in frames:
            name = f"peers.dropped_in_{reason}"
            eventually(lambda n=name: one.metrics.snapshot().get(n), name)
        assert one.link.alive() == ["a", "b"]
        assert one.link.peer_table.address_of("b") == other.link.address
    finally:
        shut_down(one, other)


def test_a_blocked_link_is_detected_and_reconnected():
    """Guards against half-open connections that stay in use."""
    one, other = make_pair()
    try:
        one.link.block("b", inbound=True, outbound=False)
        eventually(lambda: one.link.alive() == ["a"], "the block is detected")
        counts = one.metrics.snapshot
        eventually(lambda: counts().get("peers.reconnects"), "a new socket")
        assert other.link.alive() == ["a", "b"]
        one.link.block("b", inbound=False, outbound=False)
        eventually(
            lambda: one.link.alive() == ["a", "b"], "the link is restored"
        )
    finally:
        shut_down(one, other)


def test_the_outbox_is_bounded():
    """Guards against an unbounded outbox while the link is stopped."""
    node = Node("a", StoreState(), incarnation=5)
    signal = EndpointSignal("a", "i", "leaving")
    sent = [
        node.link.broadcast(signal) for _ in range(MAX_OUTBOX_MESSAGES + 5)
    ]
    assert sent.count(False) == 5
    assert node.metrics.snapshot()["peers.outbox_dropped"] == 5


def test_entries_catch_up_by_deltas_and_buckets():
    """Guards against permanently diverged entries without the store."""
    small = FAST_SETTINGS._replace(
        peers=FAST_SETTINGS.peers._replace(log_limit=8)
    )
    one, other = make_pair(small)
    changes = [
        ConfigChange(f"config/pool/k{n}", b'["p"]', n) for n in range(2, 40)
    ]
    try:
        for upto in (4, 39):
            one.table.apply(changes[: upto - 1], upto)
            eventually(
                lambda upto=upto: other.table.covered == upto, f"{upto}"
            )
            assert other.table.items == one.table.items
        counts = other.metrics.snapshot()
        assert counts["sync.repairs"] == 1
        assert one.metrics.snapshot()["sync.deltas_sent"] >= 2
    finally:
        shut_down(one, other)
