"""Places the jobs of the pools that this entry controls.

All persistent state is in the job records: a placer can stop after any call,
and another one continues from the records. A worker is claimed for a task in
the store before the task is started. A start can be sent again without
effect, and after a stop the worker refuses to start the task.
"""

from random import Random

from cyclamenscale.errors import (
    ControlLostError,
    JobImpossibleError,
    PlatformUnavailableError,
    StaleFenceError,
    StoreAnswerLostError,
    StoreError,
)
from cyclamenscale.fleet.budget import CONTROL_PREFIX
from cyclamenscale.fleet.controller import ControllerContext
from cyclamenscale.fleet.ports import Resources, WorkerPlatform
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import INSTANCE_PREFIX
from cyclamenscale.placing.job_records import (
    CHECKPOINTED,
    CLAIMED,
    DONE,
    ENDED_STATES,
    QUARANTINE_PREFIX,
    REJECTED,
    QuarantinedWorker,
    QuarantineRecord,
    TaskRecord,
    task_id,
)
from cyclamenscale.placing.jobs import (
    JobChange,
    JobStore,
    StoredJob,
    batch_changes,
    sum_allocations,
    waiting_jobs,
)
from cyclamenscale.placing.placement import (
    Placement,
    sort_by_urgency,
    within_quota,
)
from cyclamenscale.placing.placer_state import PlacerState, PoolSnapshot
from cyclamenscale.placing.task_actions import TaskActions
from cyclamenscale.placing.task_states import TaskReconciler
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import Compare, Put, Store
from cyclamenscale.util.clock import Clock
from cyclamenscale.util.codec import encode_record

#: Unplaced sizes kept during a tick; a job that needs at least as much as one
#: of them is not tried in that tick.
MAX_UNPLACED_SIZES = 16
#: Comparisons in each transaction besides those of its changes: the control.
FIXED_COMPARES = 1


class PoolPlacer:
    """Starts, monitors and ends the tasks of pools.

    Not thread-safe: one component calls :meth:`tick`.

    :param settings: settings of the entry.
    :param store: the platform's store.
    :param workers: interface to the platform's workers.
    :param context: configuration and audit trail of the entry.
    :param metrics: counters.
    :param wall_clock: returns seconds since the epoch.
    :param rng: random number generator for the samples of workers.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        workers: WorkerPlatform,
        context: ControllerContext,
        metrics: Metrics,
        wall_clock: Clock,
        rng: Random,
    ):
        """Initialise with no pools."""
        self.settings = settings
        self.store = store
        self.workers = workers
        self.context = context
        self.metrics = metrics
        self.wall_clock = wall_clock
        self.rng = rng
        self.job_store = JobStore(store, metrics, wall_clock)
        self.pools: dict[str, PlacerState] = {}

    def tick(self, pool: str, fence: int) -> None:
        """Run one control cycle for a pool; failures are only counted.

        :param pool: name of the pool.
        :param fence: fencing token of the pool's control.
        """
        if pool not in self.pools:
            self.pools[pool] = PlacerState(self.settings, self.rng)
        pool_tick = PlacerTick(self, pool, fence)
        try:
            pool_tick.run()
        except StoreAnswerLostError:
            # The next tick reads whether the write was applied.
            self.metrics.incr("placer.answers_lost")
        except StoreError:
            self.metrics.incr("placer.store_errors")
        except PlatformUnavailableError:
            self.metrics.incr("placer.platform_errors")
        except (StaleFenceError, ControlLostError):
            self.metrics.incr("placer.stale_fence")

    def drop_pool(self, pool: str) -> None:
        """Drop the state of a pool that this entry does not control."""
        self.pools.pop(pool, None)
        self.job_store.decoded_jobs.pop(pool, None)


class PlacerTick:
    """One control cycle of one pool."""

    def __init__(self, placer: PoolPlacer, pool: str, fence: int):
        """Initialise from the placer and its state of the pool."""
        self.placer = placer
        self.settings = placer.settings.placement
        self.context = placer.context
        self.metrics = placer.metrics
        self.job_store = placer.job_store
        self.pool = pool
        self.fence = fence
        self.state = placer.pools[pool]
        self.now_s = placer.wall_clock()
        self.actions = TaskActions(
            placer.workers, self.state, placer.metrics, pool, fence
        )

    def run(self) -> None:
        """Read the pool's state, decide, write changes and send actions."""
        self.state.refill_write_tokens(self.now_s)
        self.actions.renew_leases(self.now_s)
        snapshot = self.read_snapshot()
        self.state.prune_tasks(snapshot.recorded_task_ids())
        self.state.learn_usage(snapshot)
        reconciler = TaskReconciler(
            self.actions, self.state, self.metrics, snapshot
        )
        task_changes = reconciler.job_changes()
        snapshot = self.update_quarantine(snapshot)
        self.state.refresh_index(snapshot)
        claims = (
            self.place_waiting_jobs(snapshot)
            if self.context.may_admit()
            else []
        )
        urgent = [each for each in claims if is_urgent(each)]
        others = [each for each in claims if not is_urgent(each)]
        for changes in (urgent, task_changes, others):
            for batch in batch_changes(changes, FIXED_COMPARES):
                if self.state.write_tokens < 1:
                    self.metrics.incr("placer.writes_put_off", len(batch))
                    continue
                self.commit_batch(batch)
        self.actions.stop_unknown_tasks(snapshot)
        self.actions.resolve_overload(snapshot)
        self.metrics.gauge(
            f"placer.history_dropped.{self.pool}",
            self.state.history.dropped_groups,
        )

    def read_snapshot(self) -> PoolSnapshot:
        """Read worker list, usage reports and job records, in this order.

        A task is recorded before it is started. With the records read last,
        a reported task that is not in them is unknown and not just claimed.
        """
        instances = {
            name: each
            for name, each in self.context.view().instances.items()
            if each.pool == self.pool
        }
        workers = self.placer.workers
        platform_workers = {each.name: each for each in workers.list_workers()}
        names = set(instances)
        for _, _, record in self.job_store.decoded_jobs.get(
            self.pool, {}
        ).values():
            if record.task:
                names.add(record.task.worker)
        reports = {each.worker: each for each in workers.usage(sorted(names))}
        records = self.job_store.load(self.pool)
        return PoolSnapshot(
            self.now_s, instances, platform_workers, reports, records
        )

    def commit_batch(self, batch: list[JobChange]) -> None:
        """Commit a batch, start claimed tasks and stop ended ones."""
        sent_before = self.job_store.transaction_count
        try:
            applied = self.job_store.commit(batch, self.pool, self.fence)
        finally:
            self.state.write_tokens -= (
                self.job_store.transaction_count - sent_before
            )
        for change in applied:
            after = change.after
            task = change.before.record.task
            if after is None:
                continue
            if after.state == CLAIMED:
                self.metrics.incr("placer.claimed")
                self.actions.start(after)
            elif after.state == DONE and task:
                self.state.failures.record_success(task.worker)
                self.state.learn_from_ended(change.before.record)
            if after.task is None and task:
                if after.state in ENDED_STATES | {CHECKPOINTED}:
                    self.actions.stop(task.id, task.worker)
            if after.state in ENDED_STATES:
                self.metrics.incr(f"placer.ended.{after.state}")

    def update_quarantine(self, snapshot: PoolSnapshot) -> PoolSnapshot:
        """Write which workers enter and leave quarantine.

        :returns: the snapshot with the current quarantine record.
        :raises ControlLostError: if the control is no longer held.
        """
        record = snapshot.records.quarantine
        quarantined = [
            each for each in record.workers if each.until_s > self.now_s
        ]
        failures = self.state.failures
        names = {each.worker for each in quarantined}
        for worker in sorted(failures.by_worker):
            if worker in names or not failures.is_bad_worker(worker):
                continue
            if not failures.may_quarantine(
                len(names), len(snapshot.instances)
            ):
                self.metrics.incr("placer.quarantine_full")
                continue
            count = len(failures.by_worker[worker])
            reason = f"tasks of {count} jobs failed and none completed"
            until_s = self.now_s + self.settings.quarantine_s
            quarantined.append(QuarantinedWorker(worker, until_s, reason))
            names.add(worker)
        after = QuarantineRecord(tuple(quarantined))
        if after == record:
            return snapshot
        key = QUARANTINE_PREFIX + self.pool
        result = self.placer.store.txn(
            [
                Compare(CONTROL_PREFIX + self.pool, self.fence),
                Compare(key, snapshot.records.quarantine_revision),
            ],
            [Put(key, encode_record(after))],
        )
        self.state.write_tokens -= 1
        if not result.succeeded:
            raise ControlLostError(self.pool, self.fence)
        for each in set(after.workers) - set(record.workers):
            failures.discard_worker(each.worker)
            self.metrics.incr("placer.quarantined")
            self.context.decided(
                "worker_quarantined", each.worker, each.reason, each._asdict()
            )
        records = snapshot.records._replace(
            quarantine=after, quarantine_revision=result.revision
        )
        return snapshot._replace(records=records)

    def place_waiting_jobs(self, snapshot: PoolSnapshot) -> list[JobChange]:
        """Return changes that place or reject waiting jobs, by urgency."""
        stored = {
            each.record.spec.id: each
            for each in waiting_jobs(snapshot.records.jobs.values())
        }
        self.metrics.gauge(f"placer.waiting.{self.pool}", len(stored))
        teams, _ = sum_allocations(snapshot.records.jobs.values())
        policy = self.state.policy
        unplaced_sizes: list[Resources] = []
        changes = []
        decisions = 0
        for record in sort_by_urgency(each.record for each in stored.values()):
            spec = record.spec
            required = policy.required_resources(spec)
            try:
                policy.check_possible(spec, required)
            except JobImpossibleError as error:
                changes.append(self.reject(stored[spec.id], error))
                continue
            used = teams.get(spec.team, Resources())
            if not within_quota(
                snapshot.records.quotas.get(spec.team), used, required
            ):
                self.metrics.incr("placer.quota_reached")
                continue
            if any(each.fits(required) for each in unplaced_sizes):
                continue
            if decisions >= self.settings.decisions_per_tick:
                break
            decisions += 1
            placement = policy.place(spec, record.failed_on)
            if placement is None:
                self.metrics.incr("placer.no_room")
                # The workers that this job avoids may fit other jobs.
                if (
                    len(unplaced_sizes) < MAX_UNPLACED_SIZES
                    and not record.failed_on
                ):
                    unplaced_sizes.append(required)
                continue
            teams[spec.team] = used.plus(placement.allocated)
            self.state.reserve(spec, placement)
            changes.append(self.claim_change(stored[spec.id], placement))
        return changes

    def reject(self, job: StoredJob, error: JobImpossibleError) -> JobChange:
        """Return the change that rejects a job that no worker could run."""
        inputs = {
            "resource": error.resource,
            "asked": error.asked,
            "largest": error.largest,
        }
        self.context.decided(
            "job_rejected", job.record.spec.id, str(error), inputs
        )
        after = job.record.transition(
            REJECTED, reason=str(error), ended_s=self.now_s
        )
        return JobChange(job, after)

    def claim_change(self, job: StoredJob, placement: Placement) -> JobChange:
        """Return the change that claims a worker for a job.

        It compares the revision of the worker's instance record, so that a
        worker that has begun to drain or move gets no new task.
        """
        record = job.record
        attempt = record.attempt + 1
        task = TaskRecord(
            task_id(self.pool, record.spec.id, attempt),
            placement.worker,
            placement.allocated,
            self.fence,
            self.now_s,
        )
        key = INSTANCE_PREFIX + placement.worker
        return JobChange(
            job,
            record.transition(CLAIMED, attempt=attempt, task=task, reason=""),
            (Compare(key, self.context.revision_of(key)),),
        )


def is_urgent(change: JobChange) -> bool:
    """Return whether a change is of a job of the highest urgency."""
    return change.before.record.spec.urgency == 0
