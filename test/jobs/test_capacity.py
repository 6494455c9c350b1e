"""Tests of moves between pools, from loads alone."""

from cyclamenscale.jobs.capacity import (
    IDLE_TIMEOUT_S,
    LEAD_TIME_S,
    CapacityPlanner,
    MovableMachine,
    PoolLoad,
)
from cyclamenscale.jobs.model import Machine

POOLS = ("a", "b", "c", "d")
IDLE = PoolLoad(6, 64.0, 20.0, 0.0, 20.0)
#: A peak needs about five times the mean, more than a pool's machines serve.
PEAK = PoolLoad(6, 64.0, 380.0, 300.0, 20.0)


def machine(name, pool):
    """Return a machine that is up."""
    return Machine(name, pool, True, "up", "")


def standby_machines(count=6):
    """Return movable machines of the standby pool."""
    return [MovableMachine(machine(f"s{n}", "off"), 0) for n in range(count)]


def loads(**others):
    """Return the loads of all pools, idle but for those given."""
    return {pool: others.get(pool, IDLE) for pool in POOLS}


def play_peaks(planner, spacing_s, *pools):
    """Give pools a peak one after another; return the start of the last."""
    now_s = 0.0
    for pool in pools:
        now_s += spacing_s
        planner.plan_moves(loads(**{pool: PEAK}), "off", [], now_s)
    return now_s


def test_a_pool_in_its_peak_gets_the_standby_machines():
    """Guards against tasks that wait while standby machines are unused.

    Each demand peak exceeds what its pool's machines can serve.
    """
    moves = CapacityPlanner().plan_moves(
        loads(b=PEAK), "off", standby_machines(), 1.0
    )
    assert [pool for _, pool in moves] == ["b"] * 6


def test_machines_start_to_move_before_an_expected_peak():
    """Guards against peaks that begin without machines every time.

    Peaks rotate through the pools at a fixed interval.
    """
    planner = CapacityPlanner()
    last_s = play_peaks(planner, 8.0, "a", "b", "c")
    early_s = last_s + 8.0 - LEAD_TIME_S + 0.1
    moves = planner.plan_moves(loads(), "off", standby_machines(), early_s)
    assert {pool for _, pool in moves} == {"d"}
    last_s = play_peaks(planner, 8.0, "d")


def test_irregular_peaks_are_not_forecast():
    """Guards against moves for a forecast from irregular peaks."""
    planner = CapacityPlanner()
    for pool, now_s in (("a", 1.0), ("b", 4.0), ("c", 14.0)):
        planner.plan_moves(loads(**{pool: PEAK}), "off", [], now_s)
    for tenth in range(200):
        now_s = 14.0 + tenth / 10
        assert not planner.plan_moves(
            loads(), "off", standby_machines(), now_s
        )


def test_pools_keep_their_machines_until_peaks_are_periodic():
    """Guards against a pool that is shrunk just before its first peak."""
    planner = CapacityPlanner()
    movable = [MovableMachine(machine(f"b{n}", "b"), 0) for n in range(3)]
    for now_s in (0.0, IDLE_TIMEOUT_S + 1, 2 * IDLE_TIMEOUT_S + 2):
        assert not planner.plan_moves(loads(), "off", movable, now_s)


def test_idle_machines_return_once_peaks_are_periodic():
    """Guards against paying for machines that are not used."""
    planner = CapacityPlanner()
    last_s = play_peaks(planner, 8.0, "a", "b", "c")
    movable = [
        MovableMachine(machine(f"{pool}{n}", pool), 0)
        for pool in ("b", "d")
        for n in range(3)
    ]
    peak_loads = loads(c=PEAK._replace(machines=14))
    planner.plan_moves(peak_loads, "off", movable, last_s + 0.1)
    now_s = last_s + 0.2 + IDLE_TIMEOUT_S
    moves = planner.plan_moves(peak_loads, "off", movable, now_s)
    # The pool that is expected to peak next keeps its machines.
    assert {(m.pool, pool) for m, pool in moves} == {("b", "off")}


def test_a_busy_pool_gives_no_machine_away():
    """Guards against moves that leave their source short of machines."""
    planner = CapacityPlanner()
    busy = PoolLoad(6, 64.0, 300.0, 0.0, 20.0)
    movable = [MovableMachine(machine("a0", "a"), 0)]
    assert not planner.plan_moves(loads(a=busy, b=PEAK), "", movable, 1.0)


def test_an_alternating_lead_is_one_peak():
    """Guards against losing the interval when two peaks overlap."""
    planner = CapacityPlanner()
    last_s = play_peaks(planner, 8.0, "a", "b", "c")
    planner.plan_moves(loads(b=PEAK), "off", [], last_s + 0.2)
    planner.plan_moves(loads(c=PEAK), "off", [], last_s + 0.4)
    assert [peak.pool for peak in planner.forecast.peaks] == ["a", "b", "c"]
    assert planner.forecast.interval_s() == 8.0


def test_one_large_job_is_no_peak():
    """Guards against losing the interval to single jobs between peaks.

    Another pool gets one large job between two peaks.
    """
    planner = CapacityPlanner()
    last_s = play_peaks(planner, 8.0, "a", "b")
    one_job = PoolLoad(6, 64.0, 90.0, 0.0, 20.0)
    planner.plan_moves(loads(d=one_job), "off", [], last_s + 6.0)
    planner.plan_moves(loads(c=PEAK), "off", [], last_s + 8.0)
    assert [peak.pool for peak in planner.forecast.peaks] == ["a", "b", "c"]
