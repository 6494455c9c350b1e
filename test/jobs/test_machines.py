"""Tests of upkeep and moves of machines."""

from cyclamenscale.errors import CallUnansweredError
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.capacity import Turn
from cyclamenscale.jobs.keys import FLEET
from cyclamenscale.jobs.model import FleetRecord, MaintenanceWave, Step
from cyclamenscale.util.codec import decode_record
from test.jobs.world import World, settled

LASTING = Step(
    3,
    Resources(4.0, 8.0),
    long_running=True,
    max_per_worker=1,
    max_unavailable=1,
)


def wave_of(world, *machines, limit=2, duration_s=20.0):
    """Request upkeep of machines."""
    wave = MaintenanceWave(1, machines, duration_s, limit)
    world.coordinator.machines.waves.set_wave(wave)
    return wave


def test_two_orders_of_one_tick_do_not_both_interrupt_a_step():
    """Guards against each order counting the other's task as at work."""
    world = World(workers=4)
    world.lead()
    world.submit("j1", LASTING)
    world.run(4.0)
    machines = [f"m-{worker}" for _, _, worker in world.running("j1")]
    wave_of(world, *machines, limit=3)
    world.run(0.3)
    assert world.machines.orders
    assert not world.broken


def test_a_wave_takes_at_most_its_limit_and_is_reported():
    """Guards against more machines down than the wave allows."""
    world = World(workers=4)
    world.lead()
    world.run(4.0)
    machines = sorted(world.machines.machines)
    wave_of(world, *machines, limit=2)
    world.run(1.5)
    assert len(world.machines.orders) == 2
    for name, machine in list(world.machines.machines.items()):
        if not machine.up:
            world.machines.machines[name] = machine._replace(
                up=True, state="up"
            )
    world.run(2.5)
    assert len(world.machines.orders) == 4
    assert world.machines.reports[-1] == (1, 4, False)
    for name, machine in list(world.machines.machines.items()):
        world.machines.machines[name] = machine._replace(up=True, state="up")
    world.run(2.5)
    assert world.machines.reports[-1] == (1, 4, True)


def test_a_new_holder_waits_before_its_first_order():
    """Guards against holders that take turns within the platform's bound."""
    world = World()
    world.lead()
    world.coordinator.machines.handover.restore(FleetRecord(("m-pool-a-0",)))
    wave_of(world, "m-pool-a-0", "m-pool-a-1", limit=2)
    world.run(3.0)
    assert world.machines.orders == [("upkeep", "m-pool-a-1", 1)]
    world.run(1.0)
    assert len(world.machines.orders) == 2


def test_orders_and_turns_are_left_to_the_next_coordinator():
    """Guards against a rhythm that is learned anew after each takeover."""
    world = World()
    world.lead()
    world.run(1.0)
    machines = world.coordinator.machines
    machines.capacity.rhythm.turns = [Turn("pool-a", 90.0, 7)]
    wave_of(world, "m-pool-a-0")
    world.run(0.5)
    item = world.store.items[FLEET]
    record = decode_record(item.value, FleetRecord, FLEET)
    assert record.recently_ordered == ("m-pool-a-0",)
    world.lead("e2")
    world.coordinator.machines.handover.restore(record)
    after = world.coordinator.machines
    assert after.handover.previous_orders == {"m-pool-a-0"}
    assert after.capacity.homes == {"pool-a": 4}
    assert after.capacity.rhythm.turns == [Turn("pool-a", 90.0, 7)]


def fleet_record(world):
    """Return the record that the next coordinator would find."""
    item = world.store.items[FLEET]
    return decode_record(item.value, FleetRecord, FLEET)


def test_a_third_holder_knows_the_orders_of_the_first():
    """Guards against a holder between two that forgets recent orders."""
    world = World()
    world.lead()
    world.run(1.0)
    wave_of(world, "m-pool-a-0")
    world.run(0.3)
    for holder in ("e2", "e3"):
        record = fleet_record(world)
        world.lead(holder)
        world.coordinator.machines.handover.restore(record)
        world.run(0.5)
    assert world.coordinator.machines.handover.is_excluded(
        "m-pool-a-0", world.clock()
    )


def test_orders_are_forgotten_once_another_holder_may_give_some():
    """Guards against machines kept from the next holder for too long."""
    world = World()
    world.lead()
    world.run(1.0)
    wave_of(world, "m-pool-a-0")
    world.run(0.5)
    assert fleet_record(world).recently_ordered == ("m-pool-a-0",)
    machine = world.machines.machines["m-pool-a-0"]
    world.machines.machines["m-pool-a-0"] = machine._replace(
        up=True, state="up", worker="pool-a-0"
    )
    world.run(4.5)
    assert fleet_record(world).recently_ordered == ()


def test_a_machine_still_excluded_goes_on_working():
    """Guards against machines emptied while no order for them may go out."""
    world = World()
    world.lead()
    machines = world.coordinator.machines
    machines.handover.restore(FleetRecord(("m-pool-a-0",)))
    world.run(1.5)
    spares = [row.machine.name for row in machines.spares(world.clock())]
    assert "m-pool-a-0" not in spares
    assert "m-pool-a-1" in spares


def test_an_order_whose_answer_was_lost_is_not_given_twice():
    """Guards against a machine that is taken down a second time."""
    world = World()
    world.lead()
    world.run(4.0)
    world.machines.lost = True
    wave_of(world, "m-pool-a-0", limit=1)
    world.run(2.0)
    assert world.machines.orders == [("upkeep", "m-pool-a-0", 1)]
    state = world.coordinator.machines.waves.waves[1]
    assert state.done == {"m-pool-a-0"}


def test_short_tasks_end_before_their_machine_goes_down():
    """Guards against work that an upkeep throws away without need."""
    world = World(workers=1)
    world.lead()
    world.run(4.0)
    world.submit("j1", Step(2, Resources(4.0, 8.0)))
    world.run(0.2)
    wave_of(world, "m-pool-a-0")
    world.run(1.0)
    assert len(world.running("j1")) == 2
    assert not world.machines.orders
    world.finish("j1")
    world.run(0.5)
    assert world.machines.orders


def test_an_upkeep_that_was_done_before_ends_no_run():
    """Guards against a second run after an answer that says "done already".

    The platform answers 200 for an operation that an earlier holder has
    carried out; the machine's new worker goes on.
    """
    world = World(workers=3)
    world.lead()
    world.run(4.0)
    world.machines.orders.append(("upkeep", "m-pool-a-0", 1))
    world.submit("j1", Step(3, Resources(4.0, 8.0), long_running=True))
    world.run(0.2)
    before = sorted(world.running())
    wave_of(world, "m-pool-a-0")
    world.run(2.0)
    assert sorted(world.running()) == before
    assert not world.broken


def test_a_new_coordinator_knows_the_machines_that_are_done():
    """Guards against machines that are emptied again after a takeover."""
    from cyclamenscale.jobs.model import WaveRecord

    world = World()
    world.lead()
    wave = MaintenanceWave(1, ("m-pool-a-0", "m-pool-a-1"), 20.0, 1)
    record = WaveRecord(int(world.clock() * 1000), ("m-pool-a-0",), False)
    world.coordinator.machines.waves.set_wave(wave, record)
    world.run(5.0)
    assert world.machines.orders == [("upkeep", "m-pool-a-1", 1)]


def test_a_machine_whose_worker_the_list_lacks_is_not_taken_unasked():
    """Guards against an order that ends tasks of a worker just registered.

    The list of machines is read by the second; a worker that registers in
    between takes tasks at once.
    """
    world = World(workers=3)
    machine = world.machines.machines["m-pool-a-0"]
    world.machines.machines["m-pool-a-0"] = machine._replace(worker="")
    world.lead()
    world.run(4.0)
    world.submit("j1", LASTING)
    world.run(0.2)
    elsewhere = next(
        task for task, _, w in world.running("j1") if w != "pool-a-0"
    )
    world.at_work_share[elsewhere] = 0.0
    world.run(0.2)
    wave_of(world, "m-pool-a-0")
    world.run(2.0)
    assert not world.machines.orders
    assert not world.broken


def test_lasting_tasks_of_a_step_go_to_different_workers():
    """Guards against steps that no machine's upkeep can spare."""
    world = World(workers=4)
    world.lead()
    world.run()
    world.submit("j1", LASTING._replace(max_per_worker=0, count=4))
    world.run()
    assert len({worker for _, _, worker in world.running()}) == 4


def test_lasting_tasks_are_moved_off_a_machine_one_by_one():
    """Guards against upkeep that waits for ever for tasks that last."""
    world = World(workers=2)
    world.lead()
    world.run(4.0)
    step = LASTING._replace(max_per_worker=0, count=4)
    world.submit("j1", step)
    world.run(0.2)
    wave_of(world, "m-pool-a-0")
    world.run(3.0)
    assert world.machines.orders
    assert len(world.running("j1")) == 4
    assert not world.broken


def test_a_machine_that_crashes_after_an_unanswered_order_is_not_done():
    """Guards against a wave that is told as completed without its upkeep.

    The order was not carried out, and the machine's worker crashed.
    """
    world = World()
    world.lead()
    world.run(4.0)
    upkeep = world.machines.start_maintenance
    world.machines.start_maintenance = lambda *args: settled(
        error=CallUnansweredError("lost")
    )
    wave_of(world, "m-pool-a-0", limit=1)
    world.run(0.5)
    machines = world.machines.machines
    machine = machines["m-pool-a-0"]
    machines[machine.name] = machine._replace(up=False, state="down")
    world.run(2.0)
    assert not world.coordinator.machines.waves.waves[1].done
    world.machines.start_maintenance = upkeep
    machines[machine.name] = machine
    world.run(2.0)
    assert world.machines.orders == [("upkeep", "m-pool-a-0", 1)]


def test_a_worker_that_the_list_lacked_survives_an_upkeep_done_before():
    """Guards against a second run after an answer that says "done already".

    The list showed no worker when the operation began, and shows the one
    that has registered since when the answer is followed.
    """
    world = World(workers=3)
    machines = world.machines.machines
    listed = machines["m-pool-a-0"]
    machines["m-pool-a-0"] = listed._replace(worker="")
    world.lead()
    world.run(4.0)
    world.machines.orders.append(("upkeep", "m-pool-a-0", 1))
    world.submit("j1", Step(3, Resources(4.0, 8.0), long_running=True))
    world.run(0.2)
    before = sorted(world.running())
    wave_of(world, "m-pool-a-0")
    world.run(0.1)
    machines["m-pool-a-0"] = listed
    world.run(2.0)
    assert sorted(world.running()) == before
    assert not world.broken
