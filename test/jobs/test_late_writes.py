"""Tests of writes of the leader that the store carries out late or unseen."""

import pytest

from cyclamenscale.jobs.job_index import JobIndex
from cyclamenscale.jobs.keys import FLEET, LEADER, wave_key
from cyclamenscale.jobs.model import FleetRecord, MaintenanceWave, WaveRecord
from cyclamenscale.store.port import KeyValue
from cyclamenscale.util.codec import decode_record, encode_record
from test.jobs.test_notices import Entries
from test.jobs.world import World

FIRST, SECOND = "m-pool-a-0", "m-pool-a-1"


@pytest.fixture
def world():
    """Return a world whose coordinator has written nothing yet."""
    world = World()
    world.lead()
    return world


def order(world: World, machine: str) -> bool:
    """Ask for an order and write the record; return if it may be sent."""
    takeover = world.coordinator.machines.takeover
    takeover.may_order(machine, world.clock())
    takeover.save(world.clock())
    return takeover.may_order(machine, world.clock())


def stored_machines(world: World) -> set[str]:
    """Return the machines that the stored record names."""
    value = world.store.items[FLEET].value
    return set(decode_record(value, FleetRecord, FLEET).recently_ordered)


def test_a_late_write_does_not_replace_a_newer_fleet_record(world):
    """Guards against two leaders that order one machine.

    The successor goes by the record, which must name all machines that its
    predecessor has ordered.
    """
    world.store.mode = "late"
    assert not order(world, FIRST)
    world.store.mode = "up"
    assert order(world, SECOND)
    world.store.release()
    assert stored_machines(world) == {FIRST, SECOND}


def test_a_fleet_record_is_written_after_a_lost_answer(world):
    """Guards against a leader that can't order machines any more."""
    world.store.mode = "lost"
    assert not order(world, FIRST)
    world.store.mode = "up"
    # The first repeat finds the record that the lost answer hid.
    order(world, SECOND)
    assert order(world, SECOND)
    assert stored_machines(world) == {FIRST, SECOND}


def test_no_order_is_sent_while_the_stored_record_is_unknown(world):
    """Guards against an order for a machine that only a lost write named."""
    assert order(world, FIRST)
    takeover = world.coordinator.machines.takeover
    world.store.put(FLEET, encode_record(FleetRecord(())))
    assert not order(world, SECOND)
    assert not takeover.may_order(FIRST, world.clock())
    takeover.save(world.clock())
    assert takeover.may_order(FIRST, world.clock())


def test_a_leader_whose_key_has_changed_writes_no_fleet_record(world):
    """Guards against a superseded leader that goes on ordering machines."""
    world.store.put(LEADER, b"e2")
    assert not order(world, FIRST)
    assert world.coordinator.state.superseded
    assert FLEET not in world.store.items


def test_a_late_report_does_not_replace_a_newer_one_of_a_wave(world):
    """Guards against a wave whose machines go down again after a takeover."""
    waves = world.coordinator.machines.waves
    waves.add_wave(MaintenanceWave(7, (FIRST, SECOND), 60.0, 1))
    progress = waves.waves[7]
    world.store.mode = "late"
    waves.report(progress, "active")
    world.store.mode = "up"
    progress.started.add(FIRST)
    waves.report(progress, "active")
    world.store.release()
    value = world.store.items[wave_key(7)].value
    assert decode_record(value, WaveRecord, "wave").started == (FIRST,)


def test_a_wave_is_reported_after_a_lost_answer(world):
    """Guards against a wave that is never reported as completed."""
    waves = world.coordinator.machines.waves
    waves.add_wave(MaintenanceWave(7, (FIRST,), 60.0, 1))
    progress = waves.waves[7]
    world.store.mode = "lost"
    waves.report(progress, "active")
    world.store.mode = "up"
    progress.started.add(FIRST)
    waves.report(progress, "completed")
    assert "completed" not in progress.reported
    waves.report(progress, "completed")
    assert "completed" in progress.reported


def test_a_successor_replaces_the_records_of_its_predecessor():
    """Guards against a leader that can't replace what another has stored."""
    entries = Entries("e1", "e2")
    store = entries.world.store
    fleet = FleetRecord((FIRST,))
    store.put(FLEET, encode_record(fleet))
    store.put(wave_key(7), encode_record(WaveRecord(5, (FIRST,), False)))
    entry = entries.entries["e1"]
    entry.waves[7] = MaintenanceWave(7, (FIRST, SECOND), 60.0, 1)
    machines = entries.elect("e1").coordinator.machines
    assert machines.takeover.previous_orders == {FIRST}
    now_s = entries.loop.clock()
    machines.takeover.may_order(SECOND, now_s)
    machines.takeover.save(now_s)
    assert stored_machines(entries.world) == {FIRST, SECOND}
    machines.waves.report(machines.waves.waves[7], "active")
    assert "active" in machines.waves.waves[7].reported


def test_the_index_keeps_the_revisions_of_records():
    """Guards against a comparison with the revision of an older record."""
    index = JobIndex()
    for revision in (5, 9):
        record = encode_record(WaveRecord(5, (), False))
        index.apply(KeyValue(wave_key(7), record, 5, revision), 0.0)
        fleet = encode_record(FleetRecord(()))
        index.apply(KeyValue(FLEET, fleet, 5, revision), 0.0)
    assert index.wave_revisions == {7: 9}
    assert index.fleet_revision == 9
