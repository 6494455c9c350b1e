"""Tests of the log line about jobs that have nothing running."""

import pytest

from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import Step
from test.jobs.world import World

SHORT = Step(1, Resources(1.0, 1.0))


class ReportingWorld(World):
    """A pool whose reports on waiting jobs are collected.

    :ivar reports: fields of the reports.
    """

    def __init__(self, workers: int = 4):
        """Begin a term."""
        super().__init__(workers=workers)
        self.reports: list[dict] = []
        note = self.events.note

        def collect(event, **fields):
            if event == "job.waiting":
                self.reports.append(fields)
            note(event, **fields)

        self.events.note = collect
        self.lead()
        self.run()


@pytest.mark.parametrize(
    ("step", "reason"),
    [
        (SHORT._replace(label="none"), "label"),
        (SHORT._replace(need=Resources(65.0, 1.0)), "no room"),
    ],
)
def test_a_job_that_can_t_start_is_explained(step, reason):
    """Guards against a log that does not tell why a job waits."""
    world = ReportingWorld()
    world.submit("j1", step)
    world.run(3.0)
    assert world.reports[0]["job"] == "j1"
    assert world.reports[0]["workers"] == {reason: 4}


def test_workers_that_take_no_tasks_are_explained():
    """Guards against the same where the workers are the reason."""
    world = ReportingWorld()
    workers = list(world.workers.workers.values())
    workers[0].mode = "dark"
    world.coordinator.unregister_worker(workers[1].entry.id)
    workers[2].entry = workers[2].entry._replace(leaving=True)
    world.submit("j1", SHORT._replace(need=Resources(65.0, 1.0)))
    world.run(6.0)
    assert world.reports[-1]["workers"] == {
        "silent": 1,
        "not registered": 1,
        "leaving": 1,
        "no room": 1,
    }


def test_only_some_waiting_jobs_are_reported():
    """Guards against a log that grows with the backlog."""
    world = ReportingWorld()
    for number in range(100):
        world.submit(f"j{number}", SHORT._replace(label="none"))
    world.run(5.0)
    assert 10 <= len(world.reports) <= 24
    assert len({report["job"] for report in world.reports}) > 10


def test_running_jobs_are_not_reported():
    """Guards against reports on jobs that do not wait."""
    world = ReportingWorld()
    world.submit("j1", SHORT)
    world.run(5.0)
    assert world.running("j1")
    assert not world.reports
