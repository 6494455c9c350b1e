"""Tests of the maintenance and the moves of machines."""

import pytest

from cyclamenscale.errors import CallUnansweredError
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.capacity import DemandPeak
from cyclamenscale.jobs.keys import FLEET
from cyclamenscale.jobs.model import FleetRecord, MaintenanceWave, Step
from cyclamenscale.util.codec import decode_record
from test.jobs.world import World, settled

LONG_RUNNING = Step(
    3,
    Resources(4.0, 8.0),
    long_running=True,
    max_per_worker=1,
    max_unavailable=1,
)


def request_wave(world, *machines, limit=2, duration_s=20.0):
    """Request a maintenance wave of machines."""
    wave = MaintenanceWave(1, machines, duration_s, limit)
    world.coordinator.machines.waves.add_wave(wave)
    return wave


def test_two_orders_of_one_tick_do_not_both_interrupt_a_step():
    """Guards against each order counting the other's task as serving."""
    world = World(workers=4)
    world.lead()
    world.submit("j1", LONG_RUNNING)
    world.run(4.0)
    machines = [f"m-{worker}" for _, _, worker in world.running("j1")]
    request_wave(world, *machines, limit=3)
    world.run(0.3)
    assert world.machines.orders
    assert not world.violations


def test_a_wave_respects_its_limit_and_is_reported():
    """Guards against more machines down than the wave allows."""
    world = World(workers=4)
    world.lead()
    world.run(4.0)
    machines = sorted(world.machines.machines)
    request_wave(world, *machines, limit=2)
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


def test_a_new_coordinator_delays_orders_for_recently_ordered_machines():
    """Guards against orders of two coordinators within the platform's bound.

    The platform requires a pause between orders of different lease holders
    for one machine.
    """
    world = World()
    world.lead()
    world.coordinator.machines.takeover.restore(
        FleetRecord(("m-pool-a-0",)), 0
    )
    request_wave(world, "m-pool-a-0", "m-pool-a-1", limit=2)
    world.run(3.0)
    assert world.machines.orders == [("upkeep", "m-pool-a-1", 1)]
    world.run(1.0)
    assert len(world.machines.orders) == 2


def test_orders_and_peaks_are_restored_by_the_next_coordinator():
    """Guards against losing recent orders and peaks at each takeover."""
    world = World()
    world.lead()
    world.run(1.0)
    machines = world.coordinator.machines
    machines.planner.forecast.peaks = [DemandPeak("pool-a", 90.0, 7)]
    request_wave(world, "m-pool-a-0")
    world.run(0.5)
    item = world.store.items[FLEET]
    record = decode_record(item.value, FleetRecord, FLEET)
    assert record.recently_ordered == ("m-pool-a-0",)
    world.lead("e2")
    world.coordinator.machines.takeover.restore(record, 0)
    after = world.coordinator.machines
    assert after.takeover.previous_orders == {"m-pool-a-0"}
    assert after.planner.initial_sizes == {"pool-a": 4}
    assert after.planner.forecast.peaks == [DemandPeak("pool-a", 90.0, 7)]


def fleet_record(world):
    """Return the record that the next coordinator would find."""
    item = world.store.items[FLEET]
    return decode_record(item.value, FleetRecord, FLEET)


def test_recent_orders_survive_two_takeovers():
    """Guards against a short term that drops an earlier term's orders."""
    world = World()
    world.lead()
    world.run(1.0)
    request_wave(world, "m-pool-a-0")
    world.run(0.3)
    for holder in ("e2", "e3"):
        record = fleet_record(world)
        world.lead(holder)
        world.coordinator.machines.takeover.restore(record, 0)
        world.run(0.5)
    assert world.coordinator.machines.takeover.is_excluded(
        "m-pool-a-0", world.clock()
    )


def test_orders_leave_the_record_once_the_pause_has_passed():
    """Guards against excluding machines for the next coordinator too long."""
    world = World()
    world.lead()
    world.run(1.0)
    request_wave(world, "m-pool-a-0")
    world.run(0.5)
    assert fleet_record(world).recently_ordered == ("m-pool-a-0",)
    machine = world.machines.machines["m-pool-a-0"]
    world.machines.machines["m-pool-a-0"] = machine._replace(
        up=True, state="up", worker="pool-a-0"
    )
    world.run(4.5)
    assert fleet_record(world).recently_ordered == ()


def test_an_excluded_machine_is_not_emptied():
    """Guards against emptying machines that no order may be sent for yet."""
    world = World()
    world.lead()
    machines = world.coordinator.machines
    machines.takeover.restore(FleetRecord(("m-pool-a-0",)), 0)
    world.run(1.5)
    movable = [
        row.machine.name for row in machines.movable_machines(world.clock())
    ]
    assert "m-pool-a-0" not in movable
    assert "m-pool-a-1" in movable


def test_an_order_whose_response_was_lost_is_not_carried_out_twice():
    """Guards against taking a machine down a second time."""
    world = World()
    world.lead()
    world.run(4.0)
    world.machines.lose_responses = True
    request_wave(world, "m-pool-a-0", limit=1)
    world.run(2.0)
    assert world.machines.orders == [("upkeep", "m-pool-a-0", 1)]
    state = world.coordinator.machines.waves.waves[1]
    assert state.started == {"m-pool-a-0"}


def test_short_tasks_end_before_their_machine_goes_down():
    """Guards against maintenance that needlessly discards work."""
    world = World(workers=1)
    world.lead()
    world.run(4.0)
    world.submit("j1", Step(2, Resources(4.0, 8.0)))
    world.run(0.2)
    request_wave(world, "m-pool-a-0")
    world.run(1.0)
    assert len(world.running("j1")) == 2
    assert not world.machines.orders
    world.finish("j1")
    world.run(0.5)
    assert world.machines.orders


def test_maintenance_that_was_already_done_ends_no_run():
    """Guards against a second run beside one that was taken as ended.

    The platform responds 200 to an order that an earlier coordinator's order
    has carried out already; the runs on the machine's new worker continue.
    """
    world = World(workers=3)
    world.lead()
    world.run(4.0)
    world.machines.orders.append(("upkeep", "m-pool-a-0", 1))
    world.submit("j1", Step(3, Resources(4.0, 8.0), long_running=True))
    world.run(0.2)
    before = sorted(world.running())
    request_wave(world, "m-pool-a-0")
    world.run(2.0)
    assert sorted(world.running()) == before
    assert not world.violations


def test_a_new_coordinator_skips_machines_already_maintained():
    """Guards against emptying machines again after a takeover."""
    from cyclamenscale.jobs.model import WaveRecord

    world = World()
    world.lead()
    wave = MaintenanceWave(1, ("m-pool-a-0", "m-pool-a-1"), 20.0, 1)
    record = WaveRecord(int(world.clock() * 1000), ("m-pool-a-0",), False)
    world.coordinator.machines.waves.add_wave(wave, record)
    world.run(5.0)
    assert world.machines.orders == [("upkeep", "m-pool-a-1", 1)]


def test_a_worker_missing_from_the_machine_list_is_protected():
    """Guards against an order that ends tasks of a newly registered worker.

    The machine list is read once a second; a worker that registers between
    two reads gets tasks at once.
    """
    world = World(workers=3)
    machine = world.machines.machines["m-pool-a-0"]
    world.machines.machines["m-pool-a-0"] = machine._replace(worker="")
    world.lead()
    world.run(4.0)
    world.submit("j1", LONG_RUNNING)
    world.run(0.2)
    elsewhere = next(
        task for task, _, w in world.running("j1") if w != "pool-a-0"
    )
    world.reported_percent[elsewhere] = 0.0
    world.run(0.2)
    request_wave(world, "m-pool-a-0")
    world.run(2.0)
    assert not world.machines.orders
    assert not world.violations


def test_long_running_tasks_of_a_step_go_to_different_workers():
    """Guards against a step that every maintenance would interrupt."""
    world = World(workers=4)
    world.lead()
    world.run()
    world.submit("j1", LONG_RUNNING._replace(max_per_worker=0, count=4))
    world.run()
    assert len({worker for _, _, worker in world.running()}) == 4


def test_long_running_tasks_are_moved_off_a_machine_one_by_one():
    """Guards against maintenance that never begins on a machine.

    Long-running tasks do not end by themselves.
    """
    world = World(workers=2)
    world.lead()
    world.run(4.0)
    step = LONG_RUNNING._replace(max_per_worker=0, count=4)
    world.submit("j1", step)
    world.run(0.2)
    request_wave(world, "m-pool-a-0")
    world.run(3.0)
    assert world.machines.orders
    assert len(world.running("j1")) == 4
    assert not world.violations


def test_a_crash_after_an_unanswered_order_is_not_maintenance():
    """Guards against reporting a wave as completed without maintenance.

    The order was not carried out, and the machine's worker crashed.
    """
    world = World()
    world.lead()
    world.run(4.0)
    start_maintenance = world.machines.start_maintenance
    world.machines.start_maintenance = lambda *args: settled(
        error=CallUnansweredError("lost")
    )
    request_wave(world, "m-pool-a-0", limit=1)
    world.run(0.5)
    machines = world.machines.machines
    machine = machines["m-pool-a-0"]
    machines[machine.name] = machine._replace(up=False, state="down")
    world.run(2.0)
    assert not world.coordinator.machines.waves.waves[1].started
    world.machines.start_maintenance = start_maintenance
    machines[machine.name] = machine
    world.run(2.0)
    assert world.machines.orders == [("upkeep", "m-pool-a-0", 1)]


def test_a_worker_listed_late_survives_maintenance_already_done():
    """Guards against a second run beside one that was taken as ended.

    The machine list lacks the worker when the operation begins, and contains
    it when the response, that the order was already carried out, is handled.
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
    request_wave(world, "m-pool-a-0")
    world.run(0.1)
    machines["m-pool-a-0"] = listed
    world.run(2.0)
    assert sorted(world.running()) == before
    assert not world.violations


def count_polls(world, worker):
    """Count the polls of a worker from now on."""
    polls = []
    poll = world.workers.poll

    def counted(record, request, new_connection=False):
        if record.id == worker:
            polls.append(world.clock())
        return poll(record, request, new_connection)

    world.workers.poll = counted
    return polls


def test_a_worker_that_ended_with_its_machine_is_not_polled_on():
    """Guards against calls to processes that an order has ended.

    The registry names the worker of a machine under maintenance until its
    registration expires.
    """
    world = World(workers=4)
    world.lead()
    world.run(4.0)
    request_wave(world, "m-pool-a-0")
    world.run(1.0)
    assert world.machines.orders
    assert "pool-a-0" in world.coordinator.state.registry
    polls = count_polls(world, "pool-a-0")
    world.run(2.0)
    assert not polls


def test_a_worker_that_is_still_registered_later_is_polled_again():
    """Guards against a live worker that is taken for ended for good."""
    world = World(workers=4)
    world.lead()
    world.run(4.0)
    coordinator = world.coordinator
    coordinator.state.workers["pool-a-0"].terminated = True
    world.run(7.0)
    assert coordinator.state.workers["pool-a-0"].fence


def test_a_restarted_worker_is_polled_at_once():
    """Guards against a new incarnation that is taken for the ended one."""
    world = World(workers=4)
    world.lead()
    world.run(4.0)
    coordinator = world.coordinator
    coordinator.state.workers["pool-a-0"].terminated = True
    world.run(0.2)
    assert "pool-a-0" not in coordinator.state.workers
    worker = world.workers.workers["pool-a-0"]
    worker.entry = worker.entry._replace(started_ms=2)
    coordinator.register_worker(worker.entry)
    world.run(0.2)
    assert coordinator.state.workers["pool-a-0"].fence


def test_machines_move_at_once_after_a_takeover():
    """Guards against a new leader that lets a peak wait for its machines.

    The workers were there before; only those that join a pool later stay
    for a while.
    """
    world = World(workers=4, pools=("pool-a", "pool-b"))
    world.lead()
    world.run(3.0)
    world.take_over("e2")
    world.run(0.2)
    state = world.coordinator.state
    movable = world.coordinator.machines.movable_machines(world.clock())
    assert len(movable) == len(state.workers) == 8


@pytest.mark.parametrize(
    ("workers", "tasks", "limit"),
    [(1, 2, 1), (2, 2, 1), (2, 5, 1), (2, 5, 2), (4, 5, 4)],
)
def test_a_pool_works_on_while_its_machines_wait_for_maintenance(
    workers, tasks, limit
):
    """Guards against a pool whose workers are all being emptied at once.

    The long-running tasks that are moved off one of them have nowhere to
    run, so that none of the machines can be taken down, and all other jobs
    stand still.
    """
    world = World(workers=workers)
    world.lead()
    world.run()
    step = LONG_RUNNING._replace(count=tasks, max_per_worker=0)
    world.submit("long", step)
    world.run(1.0)
    assert len(world.running("long")) == tasks
    request_wave(world, *sorted(world.machines.machines), limit=limit)
    world.run(0.5)
    for number in range(20):
        world.submit(f"s{number}", Step(1, Resources(1.0, 1.0), 300.0))
        world.run(0.5)
        assert world.running(f"s{number}.")
        world.finish(f"s{number}.")
        restart_maintained(world)
    assert not world.violations
    if workers > 1:
        assert len(world.machines.orders) == workers


def restart_maintained(world):
    """End the maintenance of all machines, each with a new worker."""
    for name, machine in list(world.machines.machines.items()):
        if not machine.up:
            worker = f"{name.removeprefix('m-')}-{len(world.machines.orders)}"
            added = world.add_worker(worker)
            world.machines.machines.pop(f"m-{worker}")
            added.entry = added.entry._replace(machine=name)
            world.machines.machines[name] = machine._replace(
                up=True, state="up", worker=worker
            )
            world.coordinator.register_worker(added.entry)


def test_a_machine_that_waits_for_its_turn_serves_meanwhile():
    """Guards against an idle worker while another machine is maintained.

    One machine more than may be down is emptied in advance; here it is the
    last of its pool.
    """
    world = World(workers=2)
    world.lead()
    world.run()
    request_wave(world, *sorted(world.machines.machines), limit=1)
    world.run(1.0)
    assert len(world.machines.orders) == 1
    world.submit("s1", Step(1, Resources(1.0, 1.0), 300.0))
    world.run(0.2)
    assert world.running("s1")


def test_tasks_that_moved_to_a_serving_machine_are_moved_off_again():
    """Guards against an order that ends tasks which have just started.

    The last machine of a pool takes the long-running tasks of the others
    while it waits for its own maintenance. Their progress is reported late,
    and they may be serving by the time the order is sent.
    """
    world = World(workers=2)
    world.lead()
    world.run()
    world.submit("long", LONG_RUNNING._replace(count=4, max_per_worker=0))
    world.run(1.0)
    request_wave(world, *sorted(world.machines.machines), limit=1)
    while not world.machines.orders:
        world.run(0.05)
    taken_down = world.machines.orders[0][1]
    world.run(2.0)
    moved = world.running("long")
    assert len(moved) == 4
    for task, _, _ in moved:
        world.reported_percent[task] = 50.0
    restart_maintained(world)
    world.run(1.0)
    assert [order[1] for order in world.machines.orders] == [taken_down]
    world.reported_percent.clear()
    for _ in range(20):
        world.run(0.5)
        restart_maintained(world)
    assert len(world.machines.orders) == 2
    assert not world.violations
