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
from cyclamenscale.placing.jobs import PoolJobs, allocations
from cyclamenscale.placing.overload import LoadedTask, overloaded, total_used
from cyclamenscale.placing.placement import (
    Placement,
    Spread,
    group_of,
    make_policy,
)
from cyclamenscale.placing.quarantine import Failures
from cyclamenscale.placing.usage_history import UsageHistory
from cyclamenscale.placing.worker_index import WorkerIndex
from cyclamenscale.settings import Settings

#: Stopped tasks that are remembered, so that lagging reports of them do not
#: cause a second stop.
STOPPED_LIMIT = 20000


class Seen(NamedTuple):
    """What one tick has read.

    :ivar now_s: seconds since the epoch.
    :ivar members: the pool's instance records by name.
    :ivar listed: the platform's workers by name.
    :ivar reports: the workers' reports by name.
    :ivar jobs: the pool's records in the store.
    """

    now_s: float
    members: dict[str, InstanceRecord]
    listed: dict[str, PlatformWorker]
    reports: dict[str, WorkerReport]
    jobs: PoolJobs

    def tasks(self) -> dict[str, TaskReport]:
        """Return the reported tasks by id."""
        return {
            each.task: each
            for report in self.reports.values()
            for each in report.tasks
        }

    def task_ids(self) -> set[str]:
        """Return the tasks that the records have."""
        return {
            each.record.task.id
            for each in self.jobs.jobs.values()
            if each.record.task
        }

    def quarantined(self) -> set[str]:
        """Return the workers in quarantine."""
        return {each.worker for each in self.jobs.quarantine.workers}

    def may_start(self, worker: str) -> bool:
        """Return whether records and list let a worker get new tasks."""
        member = self.members.get(worker)
        listed = self.listed.get(worker)
        return bool(
            member and member.state == "live" and listed and not listed.leaving
        )


class PoolState:
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
        self.spread = Spread()
        self.policy = make_policy(
            self.settings.policy, self.index, self.history, self.spread
        )
        self.failures = Failures(
            self.settings.quarantine_jobs,
            self.settings.bad_job_workers,
            self.settings.max_quarantined_share,
        )
        #: When each task was first missing from the reports.
        self.missing_s: dict[str, float] = {}
        #: The most that each running task was seen to use.
        self.peaks: dict[str, Resources] = {}
        self.learned: set[str] = set()
        #: Tasks whose start was confirmed to this placer.
        self.started: set[str] = set()
        #: Tasks that were asked for a checkpoint.
        self.asked: set[str] = set()
        self.stopped: OrderedDict[str, None] = OrderedDict()
        #: Platform's time of the report on which each worker was relieved.
        self.relieved_s: dict[str, float] = {}
        self.tokens = float(self.settings.writes_burst)
        self.refilled_s: float | None = None
        self.renewed_s: float | None = None

    def refill(self, now_s: float) -> None:
        """Add the store writes that the pool may make by now."""
        if self.refilled_s is not None:
            gained = (now_s - self.refilled_s) * self.settings.writes_per_s
            self.tokens = min(
                self.settings.writes_burst, self.tokens + max(0.0, gained)
            )
        self.refilled_s = now_s

    def note_stopped(self, task: str) -> None:
        """Remember that a task was stopped."""
        self.stopped[task] = None
        if len(self.stopped) > STOPPED_LIMIT:
            self.stopped.popitem(last=False)

    def prune(self, tasks: Iterable[str]) -> None:
        """Forget tasks that are in no record any more."""
        tasks = set(tasks)
        self.learned &= tasks
        self.started &= tasks
        self.asked &= tasks
        for known in (self.missing_s, self.peaks):
            for task in known.keys() - tasks:
                del known[task]

    def refresh(self, seen: Seen) -> None:
        """Bring the index and the spread to what a tick has read."""
        _, allocated = allocations(seen.jobs.jobs.values())
        quarantined = seen.quarantined()
        current = seen.task_ids()
        listed = seen.members.keys() & seen.listed.keys()
        for name in self.index.workers.keys() - listed:
            self.index.remove(name)
            self.failures.forget_worker(name)
            self.relieved_s.pop(name, None)
        nothing = Resources()
        for name in sorted(listed):
            worker = seen.listed[name]
            report = seen.reports.get(name)
            available = bool(
                report
                and seen.may_start(name)
                and name not in quarantined
                and not self.is_full(worker, report, current)
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
        for _, _, record in seen.jobs.jobs.values():
            if record.task and record.task.worker in self.index.workers:
                self.spread.add(
                    group_of(record.spec),
                    self.index.workers[record.task.worker],
                )

    def is_full(
        self, worker: PlatformWorker, report: WorkerReport, current: set[str]
    ) -> bool:
        """Return whether a worker is overloaded or runs unknown tasks."""
        for each in report.tasks:
            unknown = each.task not in current
            if each.state == "running" and unknown:
                if each.task not in self.stopped:
                    return True
        used = total_used(report.tasks)
        return overloaded(used, worker.capacity, self.settings.overload_share)

    def learn(self, seen: Seen) -> None:
        """Learn from the reports of running tasks."""
        reported = seen.tasks()
        for _, _, record in seen.jobs.jobs.values():
            if record.state not in (CLAIMED, RUNNING):
                continue
            task = record.task
            report = reported.get(task.id)
            if report is None:
                continue
            before = self.peaks.get(task.id, Resources())
            self.peaks[task.id] = Resources(*map(max, before, report.used))
            age_s = seen.now_s - task.claimed_s
            if (
                task.id not in self.learned
                and age_s >= self.settings.learn_after_s
                and report.state == "running"
            ):
                self.learned.add(task.id)
                self.learn_task(record, self.peaks[task.id])

    def learn_ended(self, record: JobRecord) -> None:
        """Learn from a task that has ended, if it was ever reported."""
        peak = self.peaks.get(record.task.id)
        if peak is not None:
            self.learn_task(record, peak)

    def learn_task(self, record: JobRecord, used: Resources) -> None:
        """Add one task's usage to the history."""
        spec = record.spec
        self.history.add(spec.team, spec.kind, spec.declared, used)

    def take(self, spec: JobSpec, found: Placement) -> None:
        """Set aside what a decision of this tick needs."""
        self.index.take(found.worker, found.allocated)
        worker = self.index.workers[found.worker]
        self.spread.add(group_of(spec), worker)

    def loaded_tasks(self, seen: Seen) -> dict[str, list[LoadedTask]]:
        """Return the running tasks with their jobs, by worker."""
        reported = seen.tasks()
        found: dict[str, list[LoadedTask]] = defaultdict(list)
        for _, _, record in seen.jobs.jobs.values():
            if record.state != RUNNING:
                continue
            report = reported.get(record.task.id)
            if report and report.state == "running":
                found[record.task.worker].append(
                    LoadedTask(record.spec, report)
                )
        return found
