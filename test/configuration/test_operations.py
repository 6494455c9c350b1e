"""Tests of configuration changes with three entries and one store."""

from threading import Thread

import pytest

from cyclamenscale.configuration.validation import FieldErrors
from cyclamenscale.errors import (
    ConflictError,
    FieldError,
    NotAcceptedError,
    NotFoundError,
    OutcomeUnknownError,
)
from cyclamenscale.model import CHANGE_PREFIX, ChangeRecord
from cyclamenscale.standin.state import StoreState
from cyclamenscale.store.port import Compare, Put
from cyclamenscale.util.codec import decode_record
from test.nodes import eventually, shut_down_all, start_three

CLASS = {"pool": "p", "finish_within_ms": 100, "max_out_share": 0.1}
WHY = ("ops", "test")


@pytest.fixture
def nodes():
    made = start_three(StoreState())
    made[0].operations.change("pool", "p", {}, *WHY)
    yield made
    shut_down_all(made)


def test_an_accepted_change_is_in_force_everywhere(nodes):
    """Guards against a change that is accepted before it is in force."""
    accepted = nodes[1].operations.change("class", "c", CLASS, *WHY, "id-1")
    for node in nodes:
        assert node.table.view.classes["c"].finish_within_ms == 100
        assert node.table.view.revision >= accepted.revision
    eventually(
        lambda: nodes[2].operations.query("id-1").state == "accepted",
        "another entry reports the change as accepted",
    )
    status = nodes[2].operations.query("id-1")
    assert status.revision == accepted.revision
    assert (status.record.who, status.record.old) == ("ops", "")
    assert nodes[0].operations.query("id-2").state == "not_found"


def test_a_repeated_change_id_returns_the_first_outcome(nodes):
    """Guards against a repeated command that is applied twice."""
    changes = [node.operations.change for node in nodes]
    first = changes[0]("class", "c", CLASS, *WHY, "id-1")
    changes[1]("class", "c", {**CLASS, "max_out_share": 0.5}, *WHY)
    again = changes[2]("class", "c", CLASS, *WHY, "id-1")
    assert again.revision == first.revision
    assert nodes[0].table.view.classes["c"].max_out_share == 0.5
    with pytest.raises(ConflictError):
        changes[0]("class", "d", CLASS, *WHY, "id-1")


def test_of_concurrent_changes_one_is_accepted(nodes):
    """Guards against overwriting a change that the operator has not seen."""
    outcomes = []

    def change(node, share):
        fields = {**CLASS, "max_out_share": share}
        try:
            node.operations.change("class", "c", fields, *WHY, None, 0)
            outcomes.append(share)
        except ConflictError as error:
            outcomes.append(error)

    threads = [
        Thread(target=change, args=(node, number / 10))
        for number, node in enumerate(nodes)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    accepted = [each for each in outcomes if isinstance(each, float)]
    conflicts = [each for each in outcomes if not isinstance(each, float)]
    assert len(accepted) == 1 and len(conflicts) == 2
    for error in conflicts:
        assert error.current.max_out_share == accepted[0] and error.revision
        assert error.wanted.max_out_share != accepted[0]


def test_joining_a_pool_conflicts_with_its_removal(nodes):
    """Guards against a class whose pool is removed concurrently."""
    operations = nodes[0].operations
    removal = operations.prepare_change("pool", "p", None, None)
    nodes[1].operations.change("class", "c", CLASS, *WHY)
    draft = ChangeRecord("id-1", *WHY[:1], "", "", 0.0, "", "")
    assert not operations.commit_change(0.0, removal, draft).succeeded
    with pytest.raises(FieldErrors):
        operations.change("pool", "p", None, *WHY)
    operations.change("class", "c", None, *WHY)
    operations.change("pool", "p", None, *WHY)
    with pytest.raises(NotFoundError):
        operations.change("pool", "p", None, *WHY)
    assert all(not node.table.view.pools for node in nodes)


def test_an_instance_moves_only_when_it_is_out_of_service(nodes):
    """Guards against an instance that is routed to from two pools."""
    change = nodes[0].operations.change
    change("pool", "q", {}, *WHY)
    change("instance", "i", {"pool": "p"}, *WHY)
    with pytest.raises(FieldErrors):
        change("instance", "i", {"pool": "q"}, *WHY)
    key = "config/instance/i"
    revision = nodes[0].table.revision_of(key)
    nodes[0].store.txn(
        [Compare(key, revision)], [Put(key, b'["i","p","draining"]')]
    )
    change("instance", "i", {"pool": "q"}, *WHY)
    for node in nodes:
        assert node.table.view.instances["i"][:3] == ("i", "q", "draining")


def test_lost_responses_are_resolved_and_an_outage_is_not_accepted(nodes):
    """Guards against a wrong outcome of a change after a store fault."""
    node = nodes[0]
    node.operations.daily_lease()
    node.store.faults.set(lose_next=2)
    accepted = node.operations.change("class", "c", CLASS, *WHY, "id-1")
    assert node.metrics.snapshot()["operations.answers_lost"] == 2
    _, found = node.store.get(CHANGE_PREFIX + "id-1")
    assert found.mod_revision == accepted.revision and found.lease
    assert decode_record(found.value, ChangeRecord, "").what.endswith("/c")
    node.store.faults.down = True
    with pytest.raises(NotAcceptedError):
        node.operations.change("class", "d", CLASS, *WHY)
    node.store.faults.down = False
    assert "d" not in node.table.view.classes


def test_a_silent_member_delays_a_change_and_no_majority_leaves_it(nodes):
    """Guards against acceptance while an entry may use the old state."""
    first, second, third = nodes
    first.link.block("c")
    limits = first.settings.freshness
    accepted = first.operations.change("class", "c", CLASS, *WHY)
    assert accepted.in_force_s >= limits.limit_s + limits.margin_s
    first.link.block("b")
    with pytest.raises(OutcomeUnknownError) as caught:
        first.operations.change("class", "d", CLASS, *WHY)
    change_id = caught.value.change_id
    assert first.operations.query(change_id).state == "waiting"
    for name in "bc":
        first.link.block(name, inbound=False, outbound=False)
    eventually(
        lambda: first.operations.query(change_id).state == "accepted",
        "the change is in force",
    )


@pytest.mark.parametrize(
    "args",
    [("server", "x", {}, *WHY), ("pool", "x", {}, "", "y")]
    + [("pool", "x", {}, *WHY, "Not A Name")],
)
def test_invalid_input_is_rejected(args, nodes):
    """Guards against change records without an operator or a reason."""
    with pytest.raises(FieldError):
        nodes[0].operations.change(*args)
