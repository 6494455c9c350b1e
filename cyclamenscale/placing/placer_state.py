"""In-memory state of a placer for one pool, kept between ticks.

All of it can be rebuilt from the store and the usage reports: an entry that
takes control of the pool starts with an empty state.
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

#: Stopped tasks that are kept, so that lagging reports of them do not cause a
#: second stop.
MAX_STOPPED_TASKS = 20000


class PoolSnapshot(NamedTuple):
    """The inputs of one tick.

    :ivar now_s: time of the tick, in seconds since the epoch.
    :ivar instances: instance records of the pool, by name.
    :ivar platform_workers: workers in the platform's list, by name.
    :ivar reports: usage reports of the workers, by name.
    :ivar records: records of the pool in the store.
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
        """Return the ids of the tasks in the job records."""
        return {
            each.record.task.id
            for each in self.records.jobs.values()
            if each.record.task
        }

    def quarantined_workers(self) -> set[str]:
        """Return the names of the workers in quarantine."""
        return {each.worker for each in self.records.quarantine.workers}

    def accepts_tasks(self, worker: str) -> bool:
        """Return whether a worker is live, listed and not leaving."""
        instance = self.instances.get(worker)
        listed = self.platform_workers.get(worker)
        return bool(
            instance
            and instance.state == "live"
            and listed
            and not listed.leaving
        )


class PlacerState:
    """Index, usage history, failures and task state of one pool.

    :param settings: settings of the entry.
    :param rng: random number generator for the samples of workers.
    """

    def __init__(self, settings: Settings, rng: Random):
        """Initialise with no workers and no tasks."""
        self.settings = settings.placement
        self.index = WorkerIndex(rng)
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
        #: When each task was first found missing from the reports.
        self.missing_since_s: dict[str, float] = {}
        #: Highest reported usage of each running task, by resource.
        self.peak_usage: dict[str, Resources] = {}
        #: Tasks whose usage was added to the history while they ran.
        self.learned_tasks: set[str] = set()
        #: Tasks whose start was confirmed to this placer.
        self.started_tasks: set[str] = set()
        #: Tasks whose checkpoint request was confirmed.
        self.checkpoint_requested: set[str] = set()
        self.stopped_tasks: OrderedDict[str, None] = OrderedDict()
        #: Time, by the platform's clock, of the report that led to the
        #: latest overload action on each worker.
        self.overload_action_s: dict[str, float] = {}
        self.write_tokens = float(self.settings.writes_burst)
        self.tokens_refilled_s: float | None = None
        self.leases_renewed_s: float | None = None

    def refill_write_tokens(self, now_s: float) -> None:
        """Add the write tokens gained since the previous call."""
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
        """Record that a task was stopped."""
        self.stopped_tasks[task] = None
        if len(self.stopped_tasks) > MAX_STOPPED_TASKS:
            self.stopped_tasks.popitem(last=False)

    def prune_tasks(self, tasks: Iterable[str]) -> None:
        """Remove the state of tasks that are in no job record."""
        tasks = set(tasks)
        self.learned_tasks &= tasks
        self.started_tasks &= tasks
        self.checkpoint_requested &= tasks
        for by_task in (self.missing_since_s, self.peak_usage):
            for task in by_task.keys() - tasks:
                del by_task[task]

    def refresh_index(self, snapshot: PoolSnapshot) -> None:
        """Update the worker index and the group spread from a snapshot."""
        _, allocated = sum_allocations(snapshot.records.jobs.values())
        quarantined = snapshot.quarantined_workers()
        recorded = snapshot.recorded_task_ids()
        listed = snapshot.instances.keys() & snapshot.platform_workers.keys()
        for name in self.index.workers.keys() - listed:
            self.index.remove(name)
            self.failures.discard_worker(name)
            self.overload_action_s.pop(name, None)
        zero = Resources()
        for name in sorted(listed):
            worker = snapshot.platform_workers[name]
            report = snapshot.reports.get(name)
            available = bool(
                report
                and snapshot.accepts_tasks(name)
                and name not in quarantined
                and not self.is_overcommitted(worker, report, recorded)
            )
            self.index.put(
                name,
                worker.data_centre,
                worker.rack,
                worker.capacity,
                worker.capacity.minus(allocated.get(name, zero)),
                available,
            )
        self.spread.counts.clear()
        for _, _, record in snapshot.records.jobs.values():
            if record.task and record.task.worker in self.index.workers:
                self.spread.add(
                    spread_group(record.spec),
                    self.index.workers[record.task.worker],
                )

    def is_overcommitted(
        self, worker: PlatformWorker, report: WorkerReport, recorded: set[str]
    ) -> bool:
        """Return whether a worker is overloaded or runs unknown tasks.

        :param worker: worker in the platform's list.
        :param report: usage report of the worker.
        :param recorded: ids of the tasks in the job records.
        """
        for each in report.tasks:
            unknown = each.task not in recorded
            if each.state == "running" and unknown:
                if each.task not in self.stopped_tasks:
                    return True
        used = total_usage(report.tasks)
        return is_overloaded(
            used, worker.capacity, self.settings.overload_share
        )

    def learn_usage(self, snapshot: PoolSnapshot) -> None:
        """Update peak usage and usage history from a snapshot's reports."""
        reported = snapshot.reported_tasks()
        for _, _, record in snapshot.records.jobs.values():
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
            age_s = snapshot.now_s - task.claimed_s
            if (
                task.id not in self.learned_tasks
                and age_s >= self.settings.learn_after_s
                and report.state == "running"
            ):
                self.learned_tasks.add(task.id)
                self.add_usage_sample(record, self.peak_usage[task.id])

    def learn_from_ended(self, record: JobRecord) -> None:
        """Add an ended task's usage to the history, if it was reported."""
        peak = self.peak_usage.get(record.task.id)
        if peak is not None:
            self.add_usage_sample(record, peak)

    def add_usage_sample(self, record: JobRecord, used: Resources) -> None:
        """Add one task's usage to the history."""
        spec = record.spec
        self.history.add(spec.team, spec.kind, spec.declared, used)

    def reserve(self, spec: JobSpec, placement: Placement) -> None:
        """Apply a placement of this tick to the index and the spread."""
        self.index.reserve(placement.worker, placement.allocated)
        worker = self.index.workers[placement.worker]
        self.spread.add(spread_group(spec), worker)

    def running_tasks(
        self, snapshot: PoolSnapshot
    ) -> dict[str, list[RunningTask]]:
        """Return the running tasks and their jobs, by worker."""
        reported = snapshot.reported_tasks()
        found: dict[str, list[RunningTask]] = defaultdict(list)
        for _, _, record in snapshot.records.jobs.values():
            if record.state != RUNNING:
                continue
            report = reported.get(record.task.id)
            if report and report.state == "running":
                found[record.task.worker].append(
                    RunningTask(record.spec, report)
                )
        return found
