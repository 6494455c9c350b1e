"""What a placer remembers of a pool between its ticks.

All of it can be rebuilt from the store and the reports; a new holder of the
pool's control starts with nothing.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from cyclamenscale.fleet.ports import (
    PlatformWorker,
    Resources,
    TaskReport,
    WorkerReport,
)
from cyclamenscale.model import InstanceRecord
from cyclamenscale.placing.job_records import (
    CLAIMED,
    RUNNING,
    JobRecord,
    JobSpec,
)
from cyclamenscale.placing.jobs import PoolRecords, sum_allocations
from cyclamenscale.placing.overload import (
    RunningTask,
    is_overloaded,
    total_usage,
)
from cyclamenscale.placing.placement import (
    GroupSpread,
    Placement,
    make_policy,
    spread_group,
)
from cyclamenscale.placing.quarantine import FailureTracker
from cyclamenscale.placing.usage_history import UsageHistory
from cyclamenscale.placing.worker_index import WorkerIndex
from cyclamenscale.settings import Settings

#: Stopped tasks that are remembered, so that lagging reports of them do not
#: cause a second stop.
MAX_STOPPED_TASKS = 20000


class PoolSnapshot(NamedTuple):
    """What one tick has read.

    :ivar now_s: seconds since the epoch.
    :ivar members: the pool's instance records by name.
    :ivar listed: the platform's workers by name.
    :ivar reports: the workers' reports by name.
    :ivar jobs: the pool's records in the store.
    """

    now_s: float
    instances: dict[str, InstanceRecord]
    platform_workers: dict[str, PlatformWorker]
    reports: dict[str, WorkerReport]
    records: PoolRecords

    def reported_tasks(self) -> dict[str, TaskReport]:
        """Return the reported tasks by id."""
        return {
            each.task: each
            for report in self.reports.values()
            for each in report.tasks
        }

    def recorded_task_ids(self) -> set[str]:
        """Return the tasks that the records have."""
        return {
            each.record.task.id
            for each in self.records.jobs.values()
            if each.record.task
        }

    def quarantined_workers(self) -> set[str]:
        """Return the workers in quarantine."""
        return {each.worker for each in self.records.quarantine.workers}

    def accepts_tasks(self, worker: str) -> bool:
        """Return whether records and list let a worker get new tasks."""
        member = self.instances.get(worker)
        listed = self.platform_workers.get(worker)
        return bool(
            member and member.state == "live" and listed and not listed.leaving
        )


class PlacerState:
    """Index, history and failures of one pool.

    :param settings: the whole settings.
    :param random: source of the samples.
    """

    def __init__(self, settings: Settings, random: Random):
        """Start without knowledge."""
        self.settings = settings.placement
        self.index = WorkerIndex(random)
        self.history = UsageHistory(
            self.settings.quantile, self.settings.history_limit
        )
        self.spread = GroupSpread()
        self.policy = make_policy(
            self.settings.policy, self.index, self.history, self.spread
        )
        self.failures = FailureTracker(
            self.settings.quarantine_jobs,
            self.settings.bad_job_workers,
            self.settings.max_quarantined_share,
        )
        #: When each task was first missing from the reports.
        self.missing_since_s: dict[str, float] = {}
        #: The most that each running task was seen to use.
        self.peak_usage: dict[str, Resources] = {}
        self.learned_tasks: set[str] = set()
        #: Tasks whose start was confirmed to this placer.
        self.started_tasks: set[str] = set()
        #: Tasks that were asked for a checkpoint.
        self.checkpoint_requested: set[str] = set()
        self.stopped_tasks: OrderedDict[str, None] = OrderedDict()
        #: Platform's time of the report on which each worker was relieved.
        self.overload_action_s: dict[str, float] = {}
        self.write_tokens = float(self.settings.writes_burst)
        self.tokens_refilled_s: float | None = None
        self.leases_renewed_s: float | None = None

    def refill_write_tokens(self, now_s: float) -> None:
        """Add the store writes that the pool may make by now."""
        if self.tokens_refilled_s is not None:
            gained = (
                now_s - self.tokens_refilled_s
            ) * self.settings.writes_per_s
            self.write_tokens = min(
                self.settings.writes_burst,
                self.write_tokens + max(0.0, gained),
            )
        self.tokens_refilled_s = now_s

    def record_stopped(self, task: str) -> None:
        """Remember that a task was stopped."""
        self.stopped_tasks[task] = None
        if len(self.stopped_tasks) > MAX_STOPPED_TASKS:
            self.stopped_tasks.popitem(last=False)

    def prune_tasks(self, tasks: Iterable[str]) -> None:
        """Forget tasks that are in no record any more."""
        tasks = set(tasks)
        self.learned_tasks &= tasks
        self.started_tasks &= tasks
        self.checkpoint_requested &= tasks
        for known in (self.missing_since_s, self.peak_usage):
            for task in known.keys() - tasks:
                del known[task]

    def refresh_index(self, seen: PoolSnapshot) -> None:
        """Bring the index and the spread to what a tick has read."""
        _, allocated = sum_allocations(seen.records.jobs.values())
        quarantined = seen.quarantined_workers()
        current = seen.recorded_task_ids()
        listed = seen.instances.keys() & seen.platform_workers.keys()
        for name in self.index.workers.keys() - listed:
            self.index.remove(name)
            self.failures.discard_worker(name)
            self.overload_action_s.pop(name, None)
        nothing = Resources()
        for name in sorted(listed):
            worker = seen.platform_workers[name]
            report = seen.reports.get(name)
            available = bool(
                report
                and seen.accepts_tasks(name)
                and name not in quarantined
                and not self.is_overcommitted(worker, report, current)
            )
            self.index.put(
                name,
                worker.data_centre,
                worker.rack,
                worker.capacity,
                worker.capacity.minus(allocated.get(name, nothing)),
                available,
            )
        self.spread.counts.clear()
        for _, _, record in seen.records.jobs.values():
            if record.task and record.task.worker in self.index.workers:
                self.spread.add(
                    spread_group(record.spec),
                    self.index.workers[record.task.worker],
                )

    def is_overcommitted(
        self, worker: PlatformWorker, report: WorkerReport, current: set[str]
    ) -> bool:
        """Return whether a worker is overloaded or runs unknown tasks."""
        for each in report.tasks:
            unknown = each.task not in current
            if each.state == "running" and unknown:
                if each.task not in self.stopped_tasks:
                    return True
        used = total_usage(report.tasks)
        return is_overloaded(
            used, worker.capacity, self.settings.overload_share
        )

    def learn_usage(self, seen: PoolSnapshot) -> None:
        """Learn from the reports of running tasks."""
        reported = seen.reported_tasks()
        for _, _, record in seen.records.jobs.values():
            if record.state not in (CLAIMED, RUNNING):
                continue
            task = record.task
            report = reported.get(task.id)
            if report is None:
                continue
            before = self.peak_usage.get(task.id, Resources())
            self.peak_usage[task.id] = Resources(
                *map(max, before, report.used)
            )
            age_s = seen.now_s - task.claimed_s
            if (
                task.id not in self.learned_tasks
                and age_s >= self.settings.learn_after_s
                and report.state == "running"
            ):
                self.learned_tasks.add(task.id)
                self.add_usage_sample(record, self.peak_usage[task.id])

    def learn_from_ended(self, record: JobRecord) -> None:
        """Learn from a task that has ended, if it was ever reported."""
        peak = self.peak_usage.get(record.task.id)
        if peak is not None:
            self.add_usage_sample(record, peak)

    def add_usage_sample(self, record: JobRecord, used: Resources) -> None:
        """Add one task's usage to the history."""
        spec = record.spec
        self.history.add(spec.team, spec.kind, spec.declared, used)

    def reserve(self, spec: JobSpec, found: Placement) -> None:
        """Set aside what a decision of this tick needs."""
        self.index.reserve(found.worker, found.allocated)
        worker = self.index.workers[found.worker]
        self.spread.add(spread_group(spec), worker)

    def running_tasks(
        self, seen: PoolSnapshot
    ) -> dict[str, list[RunningTask]]:
        """Return the running tasks with their jobs, by worker."""
        reported = seen.reported_tasks()
        found: dict[str, list[RunningTask]] = defaultdict(list)
        for _, _, record in seen.records.jobs.values():
            if record.state != RUNNING:
                continue
            report = reported.get(record.task.id)
            if report and report.state == "running":
                found[record.task.worker].append(
                    RunningTask(record.spec, report)
                )
        return found
