"""Selects the jobs of an overloaded pool that can still be done in time.

If a pool gets more work than its workers can do, some jobs will be late
whatever the order. The selection goes through the jobs by due time and adds
up their work; whenever the sum exceeds what the workers can do until then,
the job with the most work that has not begun is deferred. For one machine
this leaves the fewest jobs late (Moore, "An n job, one machine sequencing
algorithm", 1968); the workers of a pool are treated as one machine that does
the work of several tasks at once. Pure: no I/O, and times are passed in.
"""

from heapq import heappop, heappush
from typing import NamedTuple

from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.steps import DEFAULT_ESTIMATE_MS

#: Share of the work of a running task that is left on average.
RUNNING_SHARE = 0.5


class Demand(NamedTuple):
    """What a job still needs.

    :ivar job: id of the job.
    :ivar due_s: when it should be done.
    :ivar chain_s: remaining time if no task has to wait.
    :ivar running_work: remaining work of its running tasks, in processor
        seconds.
    :ivar waiting_work: work of its other tasks, in processor seconds.
    """

    job: str
    due_s: float
    chain_s: float
    running_work: float
    waiting_work: float


class Arrival(NamedTuple):
    """Workers that a pool will get.

    :ivar at_s: when they can start tasks.
    :ivar processors: their processors.
    """

    at_s: float
    processors: float


class Supply(NamedTuple):
    """The processors of a pool from now on.

    :ivar now_s: current time.
    :ivar processors: processors that tasks can use now.
    :ivar arrivals: workers on their way.
    """

    now_s: float
    processors: float
    arrivals: tuple[Arrival, ...] = ()

    def work_until(self, at_s: float) -> float:
        """Return the processor seconds that are available until a time."""
        work = self.processors * max(at_s - self.now_s, 0.0)
        for arrival in self.arrivals:
            work += arrival.processors * max(at_s - arrival.at_s, 0.0)
        return work


def demand_of(job: Job, bias: float = 1.0) -> Demand:
    """Return what a job still needs.

    :param bias: durations of the pool's tasks as a multiple of the estimates.
    """
    running = waiting = 0.0
    for occurrence in job.occurrences.values():
        for step in occurrence.steps:
            spec = step.spec
            estimate_s = (spec.estimate_ms or DEFAULT_ESTIMATE_MS) / 1000
            work = spec.need.processors * estimate_s * bias
            running += work * (step.remaining - len(step.waiting))
            waiting += work * len(step.waiting)
    return Demand(
        job.record.id,
        job.due_s,
        job.remaining_ms() / 1000 * bias,
        running * RUNNING_SHARE,
        waiting,
    )


def select_on_time(demands: list[Demand], supply: Supply) -> set[str]:
    """Return the ids of the jobs to place first.

    Running tasks of all jobs go on and use processors, also those of jobs
    that will be late.
    """
    chosen: set[str] = set()
    candidates = []
    total = 0.0
    for demand in demands:
        if supply.now_s + demand.chain_s > demand.due_s:
            total += demand.running_work
        else:
            candidates.append(demand)
    candidates.sort(key=lambda demand: demand.due_s)
    by_waiting_work: list[tuple[float, str]] = []
    for demand in candidates:
        chosen.add(demand.job)
        total += demand.running_work + demand.waiting_work
        heappush(by_waiting_work, (-demand.waiting_work, demand.job))
        available = supply.work_until(demand.due_s)
        while total > available and by_waiting_work:
            negative_work, job = heappop(by_waiting_work)
            if not negative_work:
                break
            total += negative_work
            chosen.discard(job)
    return chosen
