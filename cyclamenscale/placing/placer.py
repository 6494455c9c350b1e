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
from cyclamenscale.fleet.controller import ControllerContext
from cyclamenscale.fleet.ports import Resources, WorkerPlatform
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import INSTANCE_PREFIX
from cyclamenscale.placing.job_records import (
    CHECKPOINTED,
    CLAIMED,
    DONE,
    ENDED,
    QUARANTINE_PREFIX,
    REJECTED,
    Quarantined,
    QuarantineRecord,
    TaskRecord,
    task_id,
)
from cyclamenscale.placing.jobs import (
    Change,
    JobBook,
    StoredJob,
    allocations,
    groups,
    waiting,
)
from cyclamenscale.placing.placement import (
    Placement,
    by_urgency,
    quota_admits,
)
from cyclamenscale.placing.placer_state import PoolState, Seen
from cyclamenscale.placing.task_actions import TaskActions
from cyclamenscale.placing.task_states import TaskFollower
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import Compare, Put, Store
from cyclamenscale.util.clock import Clock
from cyclamenscale.util.codec import encode_record

#: Sizes that did not fit in this tick; larger ones are not tried again.
MISSES_LIMIT = 16
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
        surroundings: ControllerContext,
        metrics: Metrics,
        wall_clock: Clock,
        random: Random,
    ):
        """Know nothing of any pool."""
        self.settings = settings
        self.store = store
        self.workers = workers
        self.around = surroundings
        self.metrics = metrics
        self.wall_clock = wall_clock
        self.random = random
        self.book = JobBook(store, metrics, wall_clock)
        self.pools: dict[str, PoolState] = {}

    def tick(self, pool: str, fence: int) -> None:
        """Do what can be done now for one pool.

        :param pool: name of the pool.
        :param fence: fencing token of its control.
        """
        if pool not in self.pools:
            self.pools[pool] = PoolState(self.settings, self.random)
        work = PoolWork(self, pool, fence)
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

    def forget(self, pool: str) -> None:
        """Drop what is remembered of a pool that is not controlled here."""
        self.pools.pop(pool, None)
        self.book.decoded.pop(pool, None)


class PoolWork:
    """One tick of one pool."""

    def __init__(self, placer: PoolPlacer, pool: str, fence: int):
        """Keep the parts."""
        self.placer = placer
        self.settings = placer.settings.placement
        self.around = placer.around
        self.metrics = placer.metrics
        self.book = placer.book
        self.pool = pool
        self.fence = fence
        self.state = placer.pools[pool]
        self.now_s = placer.wall_clock()
        self.actions = TaskActions(
            placer.workers, self.state, placer.metrics, pool, fence
        )

    def run(self) -> None:
        """Read, decide, write, act."""
        self.state.refill(self.now_s)
        self.actions.renew(self.now_s)
        seen = self.look()
        self.state.prune(seen.task_ids())
        self.state.learn(seen)
        follower = TaskFollower(self.actions, self.state, self.metrics, seen)
        settled = follower.changes()
        seen = self.update_quarantine(seen)
        self.state.refresh(seen)
        claims = self.claim(seen) if self.around.may_admit() else []
        urgent = [each for each in claims if is_urgent(each)]
        others = [each for each in claims if not is_urgent(each)]
        for changes in (urgent, settled, others):
            for group in groups(changes, FIXED_COMPARES):
                if self.state.tokens < 1:
                    self.metrics.incr("placer.writes_put_off", len(group))
                    continue
                self.write(group)
        self.actions.stop_unknown(seen)
        self.actions.relieve(seen)
        self.metrics.gauge(
            f"placer.history_dropped.{self.pool}", self.state.history.dropped
        )

    def look(self) -> Seen:
        """Read list, reports and records, in this order.

        A task is claimed before it is started, so each reported task was
        in the records when these are read afterwards.
        """
        members = {
            name: each
            for name, each in self.around.view().instances.items()
            if each.pool == self.pool
        }
        workers = self.placer.workers
        listed = {each.name: each for each in workers.list_workers()}
        names = set(members)
        for _, _, record in self.book.decoded.get(self.pool, {}).values():
            if record.task:
                names.add(record.task.worker)
        reports = {each.worker: each for each in workers.usage(sorted(names))}
        jobs = self.book.load(self.pool)
        return Seen(self.now_s, members, listed, reports, jobs)

    def write(self, group: list[Change]) -> None:
        """Commit a group, start what it claimed, drop what it ended."""
        before = self.book.transactions
        try:
            made = self.book.commit(group, self.pool, self.fence)
        finally:
            self.state.tokens -= self.book.transactions - before
        for change in made:
            after = change.after
            task = change.before.record.task
            if after is None:
                continue
            if after.state == CLAIMED:
                self.metrics.incr("placer.claimed")
                self.actions.start(after)
            elif after.state == DONE and task:
                self.state.failures.succeeded(task.worker)
                self.state.learn_ended(change.before.record)
            if after.task is None and task:
                if after.state in ENDED | {CHECKPOINTED}:
                    self.actions.stop(task.id, task.worker)
            if after.state in ENDED:
                self.metrics.incr(f"placer.ended.{after.state}")

    def update_quarantine(self, seen: Seen) -> Seen:
        """Write who enters and who leaves quarantine."""
        record = seen.jobs.quarantine
        kept = [each for each in record.workers if each.until_s > self.now_s]
        failures = self.state.failures
        held = {each.worker for each in kept}
        for worker in sorted(failures.failed):
            if worker in held or not failures.is_bad_worker(worker):
                continue
            if not failures.may_quarantine(len(held), len(seen.members)):
                self.metrics.incr("placer.quarantine_full")
                continue
            count = len(failures.failed[worker])
            reason = f"tasks of {count} jobs failed and none completed"
            until_s = self.now_s + self.settings.quarantine_s
            kept.append(Quarantined(worker, until_s, reason))
            held.add(worker)
        after = QuarantineRecord(tuple(kept))
        if after == record:
            return seen
        key = QUARANTINE_PREFIX + self.pool
        result = self.placer.store.txn(
            [
                Compare(CONTROL_PREFIX + self.pool, self.fence),
                Compare(key, seen.jobs.quarantine_revision),
            ],
            [Put(key, encode_record(after))],
        )
        self.state.tokens -= 1
        if not result.succeeded:
            raise ControlLostError(self.pool, self.fence)
        for each in set(after.workers) - set(record.workers):
            failures.forget_worker(each.worker)
            self.metrics.incr("placer.quarantined")
            self.around.decided(
                "worker_quarantined", each.worker, each.reason, each._asdict()
            )
        jobs = seen.jobs._replace(
            quarantine=after, quarantine_revision=result.revision
        )
        return seen._replace(jobs=jobs)

    def claim(self, seen: Seen) -> list[Change]:
        """Choose workers for waiting jobs, urgent ones first."""
        stored = {
            each.record.spec.id: each
            for each in waiting(seen.jobs.jobs.values())
        }
        self.metrics.gauge(f"placer.waiting.{self.pool}", len(stored))
        teams, _ = allocations(seen.jobs.jobs.values())
        policy = self.state.policy
        misses: list[Resources] = []
        changes = []
        tried = 0
        for record in by_urgency(each.record for each in stored.values()):
            spec = record.spec
            need = policy.size(spec)
            try:
                policy.check_possible(spec, need)
            except JobImpossibleError as error:
                changes.append(self.reject(stored[spec.id], error))
                continue
            used = teams.get(spec.team, Resources())
            if not quota_admits(seen.jobs.quotas.get(spec.team), used, need):
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
                if len(misses) < MISSES_LIMIT and not record.failed_on:
                    misses.append(need)
                continue
            teams[spec.team] = used.plus(found.allocated)
            self.state.take(spec, found)
            changes.append(self.claim_change(stored[spec.id], found))
        return changes

    def reject(self, job: StoredJob, error: JobImpossibleError) -> Change:
        """Return the change that rejects a job that can never run."""
        inputs = {
            "resource": error.resource,
            "asked": error.asked,
            "largest": error.largest,
        }
        self.around.decided(
            "job_rejected", job.record.spec.id, str(error), inputs
        )
        after = job.record.to(REJECTED, reason=str(error), ended_s=self.now_s)
        return Change(job, after)

    def claim_change(self, job: StoredJob, found: Placement) -> Change:
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
        return Change(
            job,
            record.to(CLAIMED, attempt=attempt, task=task, reason=""),
            (Compare(key, self.around.revision_of(key)),),
        )


def is_urgent(change: Change) -> bool:
    """Return whether a change places the most urgent kind of work."""
    return change.before.record.spec.urgency == 0
