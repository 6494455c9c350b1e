"""Test of a coordinator that was paused for longer than its term."""

from test.jobs.test_coordinator_machine import JobsMachine


def test_a_superseded_coordinator_starts_nothing_after_a_pause():
    """Guards against a task that runs twice after a coordinator's pause.

    A coordinator is paused for 4 s while another one takes over, which does
    not reach one worker. When it resumes within ``jobs.grace_s``, its first
    polls are refused for their lower fencing token. In the same pass it
    starts tasks on the worker that the new coordinator does not reach.
    """
    machine = JobsMachine()
    machine.begin()
    machine.submit("short")
    machine.take_over()
    machine.cut_from_new(pick=1)
    machine.wait(4.0)
    machine.act_as_before()
    assert machine.world.violations == []
