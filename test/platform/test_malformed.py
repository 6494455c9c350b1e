"""Malformed input at the boundaries of a job entry.

Callers, workers, the machine API, the store and peers may send anything.
Each decoder accepts it or fails with its own error; any other exception
would end the callback that reads, and with it a watch or a poll.
"""

from concurrent.futures import Future

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import json

from cyclamenscale.errors import BadJobError, FieldError, FrameError
from cyclamenscale.jobs.job_index import JobIndex
from cyclamenscale.jobs.keys import (
    CANCEL,
    ENTRY,
    FLEET,
    JOB,
    LEADER,
    PROGRESS,
    WAVE,
)
from cyclamenscale.jobs.model import JobRecord
from cyclamenscale.jobs.relay import (
    CreateRequest,
    RecordNotice,
    Responder,
    StateRequest,
)
from cyclamenscale.members.messages import encode_frame
from cyclamenscale.platform import decode
from cyclamenscale.platform.kv import decode_response as decode_store
from cyclamenscale.platform.workers import (
    decode_poll_response,
    decode_response,
)
from cyclamenscale.store.port import KeyValue, WatchEvent
from cyclamenscale.util.codec import decode_record, unpack
from cyclamenscale.util.http_client import HttpResponse
from test.jobs.test_notices import Entries, RecordedWatch
from test.jobs.world import World, settled

SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(1 << 63), 1 << 63),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from((1e308, -1.0, 0, 1 << 62)),
    st.text(max_size=8),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=6), inner, max_size=3),
    ),
    max_leaves=6,
)

VALID = {
    decode.manifest: {
        "version": 3,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "prefix": "/p/",
                "service": "s",
                "priority": 0,
                "attempts": 2,
                "stretch": 1.6,
                "target-latency-ms": 600,
                "advice": {"decision-ms": 1, "period-ms": 1},
            }
        ],
        "services": [{"name": "s", "standby": True}],
        "limits": {"max-body-bytes": 100},
    },
    decode.wave: {
        "wave": 1,
        "machines": ["m"],
        "duration-s": 20,
        "max-count": 2,
    },
    decode.worker_report: {
        "clock-ms": 5,
        "born": 7,
        "running": [["j.0.0.0", 1, "", 40, 3]],
        "ended": [[1, "j.0.0.1", 1, "done", ""]],
    },
    decode.machines: {
        "machines": [
            {
                "machine": "m",
                "pool": "s",
                "state": "up",
                "labels": ["a", "r"],
                "id": "w",
            }
        ],
        "next-token": "x",
    },
    decode.job_spec: {
        "spec": "x",
        "steps": [
            {"count": 2, "cpu": 500, "mem-mb": 5, "estimate-ms": 9},
            {"count": 1, "cpu": 5, "after": [0], "image": "i"},
        ],
        "repeat-count": 2,
        "start-at-ms": 5,
        "interval-ms": 5,
    },
}


def worker_record(data: bytes):
    """Decode a registration."""
    return decode.worker_record("w1", data)


VALID[worker_record] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 64000, "mem-mb": 5, "gpu": 0},
    "labels": ["a", "r"],
    "born": 5,
    "machine": "m",
    "remaining-ms": 5,
}


def paths(value, prefix=()):
    """Return the paths of all parts of a JSON value."""
    found = [prefix]
    if isinstance(value, dict):
        for key, part in value.items():
            found += paths(part, (*prefix, key))
    elif isinstance(value, list):
        for index, part in enumerate(value):
            found += paths(part, (*prefix, index))
    return found


def replaced(value, path, new):
    """Return a JSON value with one part replaced."""
    if not path:
        return new
    if isinstance(value, dict):
        return value | {path[0]: replaced(value[path[0]], path[1:], new)}
    copy = list(value)
    copy[path[0]] = replaced(value[path[0]], path[1:], new)
    return copy


@pytest.mark.parametrize("read", VALID, ids=lambda read: read.__name__)
def test_valid_messages_are_read(read):
    """Guards against messages below that are refused for another reason."""
    assert read(json.encode(VALID[read]))


@pytest.mark.parametrize("read", VALID, ids=lambda read: read.__name__)
@given(data=st.data())
def test_a_malformed_message_is_read_or_refused(read, data):
    """Guards against one bad message that stops a watch, poll or call."""
    path = data.draw(st.sampled_from(paths(VALID[read])))
    message = replaced(VALID[read], path, data.draw(VALUES))
    try:
        read(json.encode(message))
    except (FieldError, BadJobError):
        return


@pytest.mark.parametrize("read", VALID, ids=lambda read: read.__name__)
@given(data=st.binary(max_size=40))
def test_bytes_that_are_no_message_are_refused(read, data):
    """Guards against bytes that can't be read at all."""
    try:
        read(data)
    except (FieldError, BadJobError):
        return


def test_messages_that_are_nested_too_deeply_are_refused():
    """Guards against an error of the interpreter instead of a refusal."""
    for nested in (b"[" * 2000, b'{"a":' * 2000, b"[" * 2000 + b"]" * 2000):
        for read in VALID:
            with pytest.raises((FieldError, BadJobError)):
                read(nested)
            with pytest.raises((FieldError, BadJobError)):
                read(json.encode(VALID[read])[:-1] + b',"x":' + nested + b"}")
        with pytest.raises(FieldError):
            decode_record(nested, JobRecord, "k")
    with pytest.raises(FrameError):
        unpack(b"\x91" * 5000, object)


@pytest.mark.parametrize("read", VALID, ids=lambda read: read.__name__)
@given(data=st.data())
def test_numbers_that_are_too_large_are_refused(read, data):
    """Guards against numbers without an equivalent float."""
    valid = VALID[read]
    path = data.draw(st.sampled_from(paths(valid)))
    digits = data.draw(st.sampled_from((19, 320, 5000)))
    message = json.encode(replaced(valid, path, "@"))
    large = b"1" + b"0" * digits
    try:
        read(message.replace(b'"@"', large))
    except (FieldError, BadJobError):
        return


def test_the_message_of_an_error_is_short():
    """Guards against log lines of the size of a rejected value."""
    value = "x" * 100_000
    for found in (value, value.encode(), [value] * 50, {value: value}):
        assert len(str(FieldError("f", found, "a number"))) < 3000


@given(st.integers(100, 599), st.one_of(st.binary(max_size=20), VALUES))
def test_any_response_of_a_worker_settles_its_call(status, body):
    """Guards against an order or a poll that is never answered."""
    data = body if isinstance(body, bytes) else json.encode(body)
    answer = decode_response(
        settled(HttpResponse(status, data)), decode_poll_response
    )
    assert answer.done()


@given(st.integers(100, 599), st.one_of(st.binary(max_size=20), VALUES))
def test_any_response_of_the_store_settles_its_call(status, body):
    """Guards against a watch that waits for ever."""
    data = body if isinstance(body, bytes) else json.encode(body)

    def read(answer: HttpResponse):
        table = json.decode(answer.body)
        return table["as-of"], table["items"][0]["key"]

    answer = decode_store(settled(HttpResponse(status, data)), read, "t")
    assert answer.done()


@given(
    st.sampled_from((JOB, PROGRESS, CANCEL, ENTRY, WAVE, FLEET, LEADER)),
    st.text("0123456789abcdef/x", max_size=6),
    st.one_of(st.binary(max_size=20), VALUES),
)
def test_any_record_in_the_store_is_indexed_or_refused(prefix, rest, value):
    """Guards against one record that stops the watch of all jobs."""
    data = value if isinstance(value, bytes) else json.encode(value)
    index = JobIndex()
    try:
        index.apply(KeyValue(prefix + rest, data, 5, 5), 1.0)
    except FieldError:
        return


@given(st.binary(max_size=40))
def test_any_request_of_a_peer_is_answered(frame):
    """Guards against a peer of another version, or a corrupted frame."""
    responder = Responder(None, None, None, None, None, None)
    assert responder.handle(frame).done()


@given(
    st.sampled_from((JOB, CANCEL, "cyclamen/leader", "")),
    st.binary(max_size=20),
    st.integers(-5, 1 << 50),
)
def test_any_notice_of_a_peer_is_answered(key, value, revision):
    """Guards against a notice that ends the leader's work."""
    entries = Entries("e1", "e2")
    leader = entries.elect("e1")
    responder = entries.links.responders["e1"]
    frame = encode_frame(RecordNotice(key, value, revision))
    assert responder.handle(frame).done()
    assert responder.handle(encode_frame(StateRequest("q", key))).done()
    responder.handle(encode_frame(CreateRequest(key, value, revision)))
    leader.coordinator.run_once()
    assert leader.election.term


def test_a_change_that_can_t_be_applied_does_not_end_a_watch():
    """Guards against a leader that hears nothing until it is restarted.

    An unexpected error while a change is applied.
    """
    recorded = RecordedWatch(World())

    def fail(items, revision):
        raise ZeroDivisionError("unexpected")

    recorded.watch.apply = fail
    watched = len(recorded.calls)
    item = KeyValue("servers/w1", b"1", 20, 20)
    recorded.calls[-1].set_result(WatchEvent(20, [item]))
    recorded.loop.advance(1.0)
    assert len(recorded.calls) > watched


def test_a_full_read_that_can_t_be_applied_is_repeated():
    """Guards against the same at the start of a watch."""
    recorded = RecordedWatch(World())
    replace = recorded.watch.replace
    calls: list[Future] = []

    def fail_once(items, revision):
        calls.append(Future())
        if len(calls) == 1:
            raise ZeroDivisionError("unexpected")
        replace(items, revision)

    recorded.watch.replace = fail_once
    recorded.watch.read()
    recorded.loop.advance(1.0)
    assert len(calls) == 2
