"""Orders in which the waiting jobs of a pool are placed.

Each order is a registered policy that the setting ``jobs.order`` selects.
Pure: the time is a parameter.
"""

from collections.abc import Callable

from cyclamenscale.errors import FieldError
from cyclamenscale.jobs.job import Job

#: Where nothing defers late jobs, one counts as late only if this share of
#: its remaining time doesn't fit, since estimates are off by half and more.
LATE_SHARE = 0.6

#: Seconds added to a job's due time for each processor second of its work.
DELAY_S_PER_WORK = 0.02

OrderKey = Callable[[Job, float], tuple]

JOB_ORDERS: dict[str, OrderKey] = {}


def job_order(name: str) -> Callable[[OrderKey], OrderKey]:
    """Register an order of jobs.

    :param name: value of ``[jobs] order`` that selects it.
    """

    def register(key: OrderKey) -> OrderKey:
        JOB_ORDERS[name] = key
        return key

    return register


def find_order(name: str) -> OrderKey:
    """Return the order of jobs that is registered under a name.

    :raises FieldError: if there is none.
    """
    if name not in JOB_ORDERS:
        allowed = "one of " + ", ".join(sorted(JOB_ORDERS))
        raise FieldError("jobs.order", name, allowed)
    return JOB_ORDERS[name]


@job_order("due_first")
def due_first(job: Job, now_s: float) -> tuple:
    """Order by priority, then due time; jobs that will be late come last.

    A job that misses its objective is worth a tenth of one that meets it,
    so it must not delay a job that can still meet its objective.
    """
    late = now_s > job.due_s - job.remaining_ms() / 1000
    return (not job.long_running, late, job.queue.priority, job.due_s)


@job_order("small_first")
def small_first(job: Job, now_s: float) -> tuple:
    """Order like ``due_first``, but place jobs with much work later.

    In a backlog, least work first lets the most jobs meet their objective;
    the due time keeps large jobs from starving.
    """
    late = now_s > job.due_s - LATE_SHARE * job.remaining_ms() / 1000
    key_s = job.due_s + job.estimated_work * DELAY_S_PER_WORK
    return (not job.long_running, late, job.queue.priority, key_s)


@job_order("first_come")
def first_come(job: Job, now_s: float) -> tuple:
    """Order by priority, then time of acceptance; used as a baseline."""
    return (not job.long_running, job.queue.priority, job.accepted_s)


@job_order("most_on_time")
def most_on_time(job: Job, now_s: float) -> tuple:
    """Order like ``small_first``, among the jobs that can be done in time.

    In an overload every job waits, and in the order of their due times each
    becomes late just before it is done. So some are deferred for the others
    (:mod:`.on_time`), and those that nobody waits for any more come last.
    """
    late, useless = job.deferred, now_s > job.useless_s
    key_s = job.due_s + job.estimated_work * DELAY_S_PER_WORK
    return (
        not job.long_running,
        useless,
        late,
        job.queue.priority,
        key_s,
    )
