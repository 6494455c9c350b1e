"""Actions on the tasks of overloaded workers.

The functions are pure. Usage reports lag, so the caller takes no further
action on a worker until a report shows the effect of the previous one.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cyclamenscale.fleet.ports import Resources, TaskReport
from cyclamenscale.placing.job_records import JobSpec

CHECKPOINT = "checkpoint"
THROTTLE = "throttle"
STOP = "stop"

#: Share of its processors that a throttled task keeps.
THROTTLED_SHARE = 0.25
#: Share of a worker's capacity below which throttles are lifted. It is well
#: below the overload limit, so that lifting one does not overload the worker
#: again.
THROTTLE_LIFT_SHARE = 0.6


class OverloadAction(NamedTuple):
    """An action on one task.

    :ivar kind: ``checkpoint``, ``throttle`` or ``stop``.
    :ivar task: id of the task.
    :ivar share: share of its processors that the task keeps if it is
        throttled; 1 lifts a throttle.
    """

    kind: str
    task: str
    share: float = 1.0


class RunningTask(NamedTuple):
    """A running task and its job.

    :ivar spec: the job.
    :ivar report: the worker's report of the task.
    """

    spec: JobSpec
    report: TaskReport


def total_usage(reports: Iterable[TaskReport]) -> Resources:
    """Return the total usage of the running tasks of a worker."""
    total = Resources()
    for each in reports:
        if each.state == "running":
            total = total.plus(each.used)
    return total


def is_overloaded(
    used: Resources, capacity: Resources, limit_share: float
) -> bool:
    """Return whether usage exceeds a share of a worker's capacity."""
    return (
        used.processors > capacity.processors * limit_share
        or used.memory_gb > capacity.memory_gb * limit_share
    )


def choose_overload_actions(
    tasks: list[RunningTask],
    used: Resources,
    capacity: Resources,
    limit_share: float,
) -> list[OverloadAction]:
    """Choose actions on the least urgent tasks of an overloaded worker.

    If processors are scarce, tasks are throttled, which loses no progress.
    If memory is scarce, tasks are checkpointed or, where a job does not
    support that, stopped. A task of an at-most-once job is never ended.

    :param tasks: running tasks that have a job record.
    :param used: total usage of all running tasks of the worker.
    :param capacity: capacity of the worker.
    :param limit_share: share of the capacity that the usage may reach.
    """
    actions = []
    excess = used.minus(
        Resources(
            capacity.processors * limit_share,
            capacity.memory_gb * limit_share,
        )
    )
    least_urgent_first = sorted(
        tasks,
        key=lambda each: (-each.spec.urgency, -each.report.used.memory_gb),
    )
    for spec, report in least_urgent_first:
        if excess.memory_gb <= 0:
            break
        if spec.at_most_once:
            continue
        kind = CHECKPOINT if spec.can_checkpoint else STOP
        actions.append(OverloadAction(kind, report.task))
        excess = excess.minus(report.used)
    ended = {each.task for each in actions}
    for _, report in least_urgent_first:
        if excess.processors <= 0:
            break
        if report.task in ended or report.share < 1.0:
            continue
        actions.append(OverloadAction(THROTTLE, report.task, THROTTLED_SHARE))
        freed = report.used.processors * (1 - THROTTLED_SHARE)
        excess = excess.minus(Resources(freed))
    return actions


def choose_throttle_to_lift(
    tasks: list[RunningTask], used: Resources, capacity: Resources
) -> list[OverloadAction]:
    """Choose the most urgent throttled task, if its throttle can be lifted.

    :returns: one action, or none if no task is throttled or the worker's
        usage is still too high.
    """
    if is_overloaded(used, capacity, THROTTLE_LIFT_SHARE):
        return []
    throttled = [each for each in tasks if each.report.share < 1.0]
    throttled.sort(key=lambda each: each.spec.urgency)
    return [
        OverloadAction(THROTTLE, each.report.task) for each in throttled[:1]
    ]
