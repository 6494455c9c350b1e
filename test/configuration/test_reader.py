"""Tests of the configuration reader on the store in memory."""

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.standin.state import StoreState
from cyclamenscale.store.port import Compare, Delete, Put
from test.nodes import Node, eventually


def start_reader():
    """Return the store's state, and an entry with only its reader."""
    state = StoreState()
    node = Node("a", state, incarnation=5)
    node.store.txn([], [Put("config/pool/p", b'["p"]')])
    node.spawn(node.reader.run, node.stop)
    eventually(lambda: "p" in node.table.view.pools, "the first read")
    return Node("b", state).store, node


def counted(node, name, more_than=0):
    """Wait until a counter is above a value."""
    eventually(lambda: node.metrics.snapshot().get(name, 0) > more_than, name)


def test_changes_and_deletions_are_followed():
    """Guards against changes that the watch loses."""
    store, node = start_reader()
    try:
        store.txn([], [Put("config/pool/q", b'["q",true]')])
        store.txn([Compare("config/pool/q", 3)], [Delete("config/pool/p")])
        eventually(lambda: node.table.view.revision == 4, "two changes")
        assert set(node.table.view.pools) == {"q"}
        assert not node.freshness.recovering
    finally:
        node.shut_down()


def test_an_outage_ends_freshness_and_the_watch_goes_on_after_it():
    """Guards against an entry that takes an outage for no change."""
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
        counted(node, "reader.watches", 1)
    finally:
        node.shut_down()


def test_a_compacted_history_leads_to_a_new_read():
    """Guards against a deletion that only the lost history had."""
    store, node = start_reader()
    try:
        node.store.faults.down = True
        counted(node, "reader.failures")
        store.txn([], [Delete("config/pool/p")])
        store.state.compact(store.state.revision)
        node.store.faults.down = False
        counted(node, "reader.compacted")
        eventually(lambda: not node.table.view.pools, "the deletion")
    finally:
        node.shut_down()


def test_a_silent_watch_is_replaced_by_reads():
    """Guards against freshness by reads that were not applied."""
    store, node = start_reader()
    try:
        node.store.faults.mute_watches = True
        revision = store.txn([], [Delete("config/pool/p")]).revision
        began_s = node.reader.clock()
        eventually(lambda: node.freshness.last_read_s > began_s, "a read")
        assert node.table.covered >= revision
        counted(node, "reader.silent")
    finally:
        node.shut_down()


def test_a_failure_of_the_program_reaches_the_supervisor(monkeypatch):
    """Guards against a reader that stops without a word."""
    node = Node("a", StoreState(), incarnation=5)

    def fail(self, items, upto):
        raise ZeroDivisionError

    monkeypatch.setattr(ConfigTable, "load", fail)
    try:
        node.reader.run(node.stop)
    except ZeroDivisionError:
        return
    raise AssertionError("run() returned")
