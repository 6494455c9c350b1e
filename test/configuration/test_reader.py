"""Tests of the configuration reader with the in-memory store."""

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.standin.state import StoreState
from cyclamenscale.store.port import Compare, Delete, Put
from test.nodes import Node, eventually


def start_reader():
    """Return a store, and a node on the same state that runs its reader."""
    state = StoreState()
    node = Node("a", state, incarnation=5)
    node.store.txn([], [Put("config/pool/p", b'["p"]')])
    node.spawn(node.reader.run, node.stop)
    eventually(lambda: "p" in node.table.view.pools, "the first read")
    return Node("b", state).store, node


def wait_for_counter(node, name, more_than=0):
    """Wait until a counter exceeds a value."""
    eventually(lambda: node.metrics.snapshot().get(name, 0) > more_than, name)


def test_changes_and_deletions_are_applied():
    """Guards against changes that are lost between store and table."""
    store, node = start_reader()
    try:
        store.txn([], [Put("config/pool/q", b'["q",true]')])
        store.txn([Compare("config/pool/q", 3)], [Delete("config/pool/p")])
        eventually(lambda: node.table.view.revision == 4, "two changes")
        assert set(node.table.view.pools) == {"q"}
        assert not node.freshness.recovering
    finally:
        node.shut_down()


def test_an_outage_ends_freshness_and_the_watch_resumes_after_it():
    """Guards against an entry that stays fresh during a store outage."""
    store, node = start_reader()
    limit_s = node.settings.freshness.limit_s
    try:
        node.store.faults.down = True
        eventually(
            lambda: node.freshness.store_read_age_s() > limit_s, "stale"
        )
        store.txn([], [Delete("config/pool/p")])
        node.store.faults.down = False
        eventually(lambda: not node.table.view.pools, "the deletion")
        eventually(
            lambda: node.freshness.store_read_age_s() < limit_s, "fresh"
        )
        wait_for_counter(node, "reader.watches", 1)
    finally:
        node.shut_down()


def test_a_compacted_history_causes_a_complete_read():
    """Guards against missing a deletion whose history was compacted."""
    store, node = start_reader()
    try:
        node.store.faults.down = True
        wait_for_counter(node, "reader.failures")
        store.txn([], [Delete("config/pool/p")])
        store.state.compact(store.state.revision)
        node.store.faults.down = False
        wait_for_counter(node, "reader.compacted")
        eventually(lambda: not node.table.view.pools, "the deletion")
    finally:
        node.shut_down()


def test_a_silent_watch_is_replaced_by_reads():
    """Guards against freshness based on reads that were not applied."""
    store, node = start_reader()
    try:
        node.store.faults.mute_watches = True
        revision = store.txn([], [Delete("config/pool/p")]).revision
        started_s = node.reader.clock()
        eventually(lambda: node.freshness.last_read_s > started_s, "a read")
        assert node.table.covered >= revision
        wait_for_counter(node, "reader.silent")
    finally:
        node.shut_down()


def test_an_unexpected_error_reaches_the_supervisor(monkeypatch):
    """Guards against a reader that stops without raising the error."""
    node = Node("a", StoreState(), incarnation=5)

    def fail(self, items, upto):
        raise ZeroDivisionError

    monkeypatch.setattr(ConfigTable, "load", fail)
    try:
        node.reader.run(node.stop)
    except ZeroDivisionError:
        return
    raise AssertionError("run() returned")
