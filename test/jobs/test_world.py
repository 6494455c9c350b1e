"""Tests of the checks in the doubles."""

import pytest

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import Step
from cyclamenscale.jobs.ports import PollRequest, StartOrder
from test.jobs.world import World

TASK = "j1.0.0.0"
STEP = Step(1, Resources(2.0, 4.0))


def start_again_after_done(step, expires, idle=False):
    """Return the violations of a start between an end and its reading.

    :param step: the only step of the job.
    :param expires: whether the lease expires before the end is acknowledged.
    :param idle: whether nothing else is running on the worker then.
    """
    world = World(workers=2)
    world.steps["j1"] = (step,)
    world.steps["j2"] = (STEP,)
    first, second = world.workers.workers.values()
    for number, worker in ((1, first), (2, second)):
        deadline_ms = worker.now_ms() + 3000
        order = StartOrder(TASK, number, "x", deadline_ms, 1)
        assert world.workers.start(worker.entry, order).result().accepted
        if worker is first:
            world.finish(TASK)
            if not idle:
                other = order._replace(task="j2.0.0.0")
                world.workers.start(worker.entry, other)
    if expires:
        world.clock.advance(3.5)
    renewal = PollRequest(1, 0, first.now_ms() + 3000)
    world.workers.poll(first.entry, renewal)
    assert not world.violations
    world.workers.poll(first.entry, PollRequest(1, 1))
    return world.violations


def test_a_start_before_an_end_is_acknowledged_is_reported():
    """Guards against a double that checks acknowledged ends only."""
    (violation,) = start_again_after_done(STEP, expires=False)
    assert violation.startswith(f"TWICE: {TASK}")


def test_a_lease_that_expired_voids_an_end_for_good():
    """Guards against a double that reports starts which are allowed."""
    assert not start_again_after_done(STEP, expires=True)


def test_an_idle_worker_has_no_lease_that_expires():
    """Guards against a double that forgets ends when nothing is running."""
    (violation,) = start_again_after_done(STEP, expires=True, idle=True)
    assert violation.startswith(f"TWICE: {TASK}")


@pytest.mark.parametrize(
    "step",
    [STEP._replace(allows_copies=True), STEP._replace(long_running=True)],
)
def test_steps_that_may_start_again_are_not_reported(step):
    """Guards against a double that reports copies and lasting tasks."""
    assert not start_again_after_done(step, expires=False)
