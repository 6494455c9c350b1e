"""Tests of input validation and of the configuration table."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.configuration.validation import (
    FieldErrors,
    check_removal,
    parse_class,
    parse_instance,
    parse_pool,
)
from cyclamenscale.members.messages import ConfigChange
from cyclamenscale.model import ConfigView, InstanceRecord, PoolRecord
from cyclamenscale.settings import PeersSettings, Settings

SMALL = Settings(peers=PeersSettings(log_limit=3))
VIEW = ConfigView(
    pools={"p": PoolRecord("p", spare=True), "q": PoolRecord("q")},
    instances={
        "i": InstanceRecord("i", "p"),
        "out": InstanceRecord("out", "p", "draining", 5.0),
    },
)
GOOD = {"pool": "p", "finish_within_ms": 100, "max_out_share": 0.1}


def invalid_fields(parse, name, fields):
    """Return the names of the fields that a parser rejects."""
    with pytest.raises(FieldErrors) as caught:
        parse(name, fields, VIEW)
    for error in caught.value.exceptions:
        assert error.allowed and error.field in str(error)
    return [e.field.rpartition(".")[2] for e in caught.value.exceptions]


@pytest.mark.parametrize(
    ("parse", "name", "fields", "expected"),
    [
        (parse_class, "c", {**GOOD, "pool": "none"}, ["pool"]),
        (parse_class, "c", {**GOOD, "finish_within_ms": True}, ["finish_"]),
        (parse_class, "c", {**GOOD, "finish_within_ms": 0}, ["finish_"]),
        (parse_class, "c", {**GOOD, "max_out_share": 1.01}, ["max_out"]),
        (parse_class, "c", {**GOOD, "weight": 3}, ["weight"]),
        (parse_class, "C!", {"pool": 3}, ["name", "pool", "finish", "max_"]),
        (parse_class, "c", [], ["class c", "pool", "finish", "max_out"]),
        (parse_pool, "q", {"spare": True, "version": "a b"}, ["sp", "ver"]),
        (parse_instance, "i", {"pool": "q"}, ["pool"]),
        (parse_instance, "out", {"pool": "q", "state": "live"}, ["state"]),
        (parse_instance, "new", {"pool": "p", "address": "x"}, ["address"]),
    ],
)
def test_all_errors_of_an_input_are_reported(parse, name, fields, expected):
    """Guards against invalid input that passes or hides a second error."""
    found = invalid_fields(parse, name, fields)
    assert len(found) == len(expected)
    assert all(f.startswith(e) for f, e in zip(found, expected, strict=True))


def test_operators_set_only_the_pool_of_an_instance():
    """Guards against a change of pool that resets an instance's state."""
    moved = parse_instance("out", {"pool": "q"}, VIEW)
    assert moved == InstanceRecord("out", "q", "draining", 5.0)
    assert parse_class("c", GOOD, VIEW).repeatable


@pytest.mark.parametrize(("kind", "name"), [("pool", "p"), ("instance", "i")])
def test_records_in_use_are_not_removed(kind, name):
    """Guards against classes and instances left without a pool."""
    with pytest.raises(FieldErrors):
        check_removal(kind, name, VIEW)
    check_removal("pool", "q", VIEW)


def put(key, revision, value=b'["p"]'):
    """Return a change of a pool record."""
    return ConfigChange("config/pool/" + key, value, revision)


def test_deletions_do_not_revert_once_their_tombstones_are_dropped():
    """Guards against a delayed change that restores a deleted key."""
    table = ConfigTable(SMALL)
    for number in range(8):
        table.apply([put(f"k{number}", 2 * number + 2)], 2 * number + 2)
        deletion = put(f"k{number}", 2 * number + 3, b"")
        table.apply([deletion], 2 * number + 3)
    assert len(table.tombstones) == 3 and len(table.log) == 3
    table.apply([put(f"k{n}", 2 * n + 2) for n in range(8)], 17, 0)
    assert table.items == {} and table.view.pools == {}


def test_an_undecodable_record_leaves_the_last_one_in_force():
    """Guards against an undecodable record that stops the reader."""
    table = ConfigTable(SMALL)
    table.apply([put("p", 2)], 2)
    table.apply([put("p", 3, b"{")], 3)
    assert table.view.pools == {"p": PoolRecord("p")}
    assert table.view.revision == table.covered == 3


def test_a_long_delta_is_split_between_revisions():
    """Guards against a partial delta that is reported as complete."""
    table, other = ConfigTable(Settings()), ConfigTable(Settings())
    changes = [put(f"{half}{n}", n) for n in range(2, 9) for half in "ab"]
    table.apply(changes, 10)
    for _ in range(7):
        complete, upto, delta = table.changes_after(other.covered, 60)
        other.apply(delta, upto, other.covered)
        assert complete and upto in (10, *(c.revision for c in delta[-1:]))
    assert other.items == table.items and other.covered == 10


KEYS = st.sampled_from("abcde")


@given(st.lists(st.tuples(KEYS, st.booleans()), max_size=30), st.data())
def test_repair_by_buckets_makes_tables_equal(steps, data):
    """Guards against differences that digests do not detect."""
    tables = [ConfigTable(SMALL), ConfigTable(SMALL)]
    stale_from = data.draw(st.integers(0, len(steps)))
    for number, (key, exists) in enumerate(steps):
        change = put(key, number + 2, b'["p"]' * exists)
        for table in tables[: 1 if number >= stale_from else 2]:
            table.apply([change], number + 2)
    source, target = tables
    upto, digests = source.digests()
    pairs = zip(digests, target.digests()[1], strict=True)
    differing = [n for n, (one, two) in enumerate(pairs) if one != two]
    target.repair({n: source.bucket_items(n) for n in differing}, upto)
    assert target.items == source.items
    assert target.digests() == source.digests()
