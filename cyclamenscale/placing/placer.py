"""Places the jobs of the pools that this entry controls.

Everything that has to last is in the jobs' records; a placer can stop after
any call and another one goes on. A task is claimed in the store before it
is started; its start can be sent again, and a stop refuses later starts.
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
from cyclamenscale.fleet.controller import Surroundings
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

#: Sizes that did not fit in this tick; larger ones are not tried again.
MAX_UNPLACED_SIZES = 16
#: Comparisons of every transaction: the control.
FIXED_COMPARES = 1


class PoolPlacer:
    """Starts, follows and ends the tasks of pools.

    Not safe for threads: one component calls :meth:`tick`.

    :param settings: the whole settings.
    :param store: the store.
    :param workers: the platform's workers.
    :param surroundings: the rest of the entry.
    :param metrics: counters.
    :param wall_clock: seconds since the epoch.
    :param random: source of the samples.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        workers: WorkerPlatform,
        context: Surroundings,
        metrics: Metrics,
        wall_clock: Clock,
        random: Random,
    ):
        """Know nothing of any pool."""
        self.settings = settings
        self.store = store
        self.workers = workers
        self.context = context
        self.metrics = metrics
        self.wall_clock = wall_clock
        self.random = random
        self.job_store = JobStore(store, metrics, wall_clock)
        self.pools: dict[str, PlacerState] = {}

    def tick(self, pool: str, fence: int) -> None:
        """Do what can be done now for one pool.

        :param pool: name of the pool.
        :param fence: fencing token of its control.
        """
        if pool not in self.pools:
            self.pools[pool] = PlacerState(self.settings, self.random)
        work = PlacerTick(self, pool, fence)
        try:
            work.run()
        except StoreAnswerLostError:
            # The next tick reads what was written.
            self.metrics.incr("placer.answers_lost")
        except StoreError:
            self.metrics.incr("placer.store_errors")
        except PlatformUnavailableError:
            self.metrics.incr("placer.platform_errors")
        except (StaleFenceError, ControlLostError):
            self.metrics.incr("placer.stale_fence")

    def drop_pool(self, pool: str) -> None:
        """Drop what is remembered of a pool that is not controlled here."""
        self.pools.pop(pool, None)
        self.job_store.decoded_jobs.pop(pool, None)


class PlacerTick:
    """One tick of one pool."""

    def __init__(self, placer: PoolPlacer, pool: str, fence: int):
        """Keep the parts."""
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
        """Read, decide, write, act."""
        self.state.refill_write_tokens(self.now_s)
        self.actions.renew_leases(self.now_s)
        seen = self.read_snapshot()
        self.state.prune_tasks(seen.recorded_task_ids())
        self.state.learn_usage(seen)
        follower = TaskReconciler(self.actions, self.state, self.metrics, seen)
        settled = follower.job_changes()
        seen = self.update_quarantine(seen)
        self.state.refresh_index(seen)
        claims = (
            self.place_waiting_jobs(seen) if self.context.may_admit() else []
        )
        urgent = [each for each in claims if is_urgent(each)]
        others = [each for each in claims if not is_urgent(each)]
        for changes in (urgent, settled, others):
            for group in batch_changes(changes, FIXED_COMPARES):
                if self.state.write_tokens < 1:
                    self.metrics.incr("placer.writes_put_off", len(group))
                    continue
                self.commit_batch(group)
        self.actions.stop_unknown_tasks(seen)
        self.actions.resolve_overload(seen)
        self.metrics.gauge(
            f"placer.history_dropped.{self.pool}",
            self.state.history.dropped_groups,
        )

    def read_snapshot(self) -> PoolSnapshot:
        """Read list, reports and records, in this order.

        A task is claimed before it is started, so each reported task was
        in the records when these are read afterwards.
        """
        members = {
            name: each
            for name, each in self.context.view().instances.items()
            if each.pool == self.pool
        }
        workers = self.placer.workers
        listed = {each.name: each for each in workers.list_workers()}
        names = set(members)
        for _, _, record in self.job_store.decoded_jobs.get(
            self.pool, {}
        ).values():
            if record.task:
                names.add(record.task.worker)
        reports = {each.worker: each for each in workers.usage(sorted(names))}
        jobs = self.job_store.load(self.pool)
        return PoolSnapshot(self.now_s, members, listed, reports, jobs)

    def commit_batch(self, group: list[JobChange]) -> None:
        """Commit a group, start what it claimed, drop what it ended."""
        before = self.job_store.transaction_count
        try:
            made = self.job_store.commit(group, self.pool, self.fence)
        finally:
            self.state.write_tokens -= (
                self.job_store.transaction_count - before
            )
        for change in made:
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

    def update_quarantine(self, seen: PoolSnapshot) -> PoolSnapshot:
        """Write who enters and who leaves quarantine."""
        record = seen.records.quarantine
        kept = [each for each in record.workers if each.until_s > self.now_s]
        failures = self.state.failures
        held = {each.worker for each in kept}
        for worker in sorted(failures.by_worker):
            if worker in held or not failures.is_bad_worker(worker):
                continue
            if not failures.may_quarantine(len(held), len(seen.instances)):
                self.metrics.incr("placer.quarantine_full")
                continue
            count = len(failures.by_worker[worker])
            reason = f"tasks of {count} jobs failed and none completed"
            until_s = self.now_s + self.settings.quarantine_s
            kept.append(QuarantinedWorker(worker, until_s, reason))
            held.add(worker)
        after = QuarantineRecord(tuple(kept))
        if after == record:
            return seen
        key = QUARANTINE_PREFIX + self.pool
        result = self.placer.store.txn(
            [
                Compare(CONTROL_PREFIX + self.pool, self.fence),
                Compare(key, seen.records.quarantine_revision),
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
        jobs = seen.records._replace(
            quarantine=after, quarantine_revision=result.revision
        )
        return seen._replace(records=jobs)

    def place_waiting_jobs(self, seen: PoolSnapshot) -> list[JobChange]:
        """Choose workers for waiting jobs, urgent ones first."""
        stored = {
            each.record.spec.id: each
            for each in waiting_jobs(seen.records.jobs.values())
        }
        self.metrics.gauge(f"placer.waiting.{self.pool}", len(stored))
        teams, _ = sum_allocations(seen.records.jobs.values())
        policy = self.state.policy
        misses: list[Resources] = []
        changes = []
        tried = 0
        for record in sort_by_urgency(each.record for each in stored.values()):
            spec = record.spec
            need = policy.required_resources(spec)
            try:
                policy.check_possible(spec, need)
            except JobImpossibleError as error:
                changes.append(self.reject(stored[spec.id], error))
                continue
            used = teams.get(spec.team, Resources())
            if not within_quota(
                seen.records.quotas.get(spec.team), used, need
            ):
                self.metrics.incr("placer.quota_reached")
                continue
            if any(each.fits(need) for each in misses):
                continue
            if tried >= self.settings.decisions_per_tick:
                break
            tried += 1
            found = policy.place(spec, record.failed_on)
            if found is None:
                self.metrics.incr("placer.no_room")
                # A worker that a job avoids may have room for others.
                if len(misses) < MAX_UNPLACED_SIZES and not record.failed_on:
                    misses.append(need)
                continue
            teams[spec.team] = used.plus(found.allocated)
            self.state.reserve(spec, found)
            changes.append(self.claim_change(stored[spec.id], found))
        return changes

    def reject(self, job: StoredJob, error: JobImpossibleError) -> JobChange:
        """Return the change that rejects a job that can never run."""
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

    def claim_change(self, job: StoredJob, found: Placement) -> JobChange:
        """Return the change that claims a worker for a job.

        It compares the worker's instance record, so that a worker that has
        begun to drain or move gets no new task.
        """
        record = job.record
        attempt = record.attempt + 1
        task = TaskRecord(
            task_id(self.pool, record.spec.id, attempt),
            found.worker,
            found.allocated,
            self.fence,
            self.now_s,
        )
        key = INSTANCE_PREFIX + found.worker
        return JobChange(
            job,
            record.transition(CLAIMED, attempt=attempt, task=task, reason=""),
            (Compare(key, self.context.revision_of(key)),),
        )


def is_urgent(change: JobChange) -> bool:
    """Return whether a change places the most urgent kind of work."""
    return change.before.record.spec.urgency == 0
