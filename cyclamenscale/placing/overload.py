"""What to do with the tasks of a worker that uses more than it has.

Pure. Reports lag, so a worker is left alone until a report shows the effect
of the last action.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cyclamenscale.fleet.ports import Resources, TaskReport
from cyclamenscale.placing.job_records import JobSpec

CHECKPOINT = "checkpoint"
THROTTLE = "throttle"
STOP = "stop"

#: A throttled task keeps this share of its processors.
THROTTLED_SHARE = 0.25
#: Share of the capacity below which throttles are lifted; well below the
#: overload limit, so that lifting one does not overload the worker again.
THROTTLE_LIFT_SHARE = 0.6


class OverloadAction(NamedTuple):
    """An action on one task.

    :ivar kind: ``checkpoint``, ``throttle`` or ``stop``.
    :ivar task: id of the task.
    :ivar share: share of the processors that a throttle leaves.
    """

    kind: str
    task: str
    share: float = 1.0


class RunningTask(NamedTuple):
    """A running task with its job.

    :ivar spec: the job.
    :ivar report: what the worker reports of it.
    """

    spec: JobSpec
    report: TaskReport


def total_usage(reports: Iterable[TaskReport]) -> Resources:
    """Return what the running tasks of a worker use together."""
    total = Resources()
    for each in reports:
        if each.state == "running":
            total = total.plus(each.used)
    return total


def is_overloaded(
    used: Resources, capacity: Resources, limit_share: float
) -> bool:
    """Return whether a worker uses more than a share of what it has."""
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

    Scarce processors are throttled, which loses no progress. Scarce memory
    is freed by a checkpoint or, without one, by a stop; a job that runs at
    most once is never ended.

    :param tasks: running tasks whose jobs are known.
    :param used: what all running tasks of the worker use.
    """
    actions = []
    over = used.minus(
        Resources(
            capacity.processors * limit_share,
            capacity.memory_gb * limit_share,
        )
    )
    order = sorted(
        tasks,
        key=lambda each: (-each.spec.urgency, -each.report.used.memory_gb),
    )
    for spec, report in order:
        if over.memory_gb <= 0:
            break
        if spec.at_most_once:
            continue
        kind = CHECKPOINT if spec.can_checkpoint else STOP
        actions.append(OverloadAction(kind, report.task))
        over = over.minus(report.used)
    ended = {each.task for each in actions}
    for _, report in order:
        if over.processors <= 0:
            break
        if report.task in ended or report.share < 1.0:
            continue
        actions.append(OverloadAction(THROTTLE, report.task, THROTTLED_SHARE))
        saved = report.used.processors * (1 - THROTTLED_SHARE)
        over = over.minus(Resources(saved))
    return actions


def choose_throttle_to_lift(
    tasks: list[RunningTask], used: Resources, capacity: Resources
) -> list[OverloadAction]:
    """Choose the most urgent throttled task whose throttle can be lifted."""
    if is_overloaded(used, capacity, THROTTLE_LIFT_SHARE):
        return []
    throttled = [each for each in tasks if each.report.share < 1.0]
    throttled.sort(key=lambda each: each.spec.urgency)
    return [
        OverloadAction(THROTTLE, each.report.task) for each in throttled[:1]
    ]
