"""Records of jobs, and the changes of state that are allowed.

A job's task is part of its record, so that one compare-and-swap changes
both. The record holds a task for as long as a worker may run it; the
resources of that task count against quota and worker until then.
"""

from typing import NamedTuple

from cyclamenscale.errors import JobStateError
from cyclamenscale.fleet.ports import Resources

JOB_PREFIX = "job/"
QUOTA_PREFIX = "quota/"
QUARANTINE_PREFIX = "quarantine/"

QUEUED = "queued"
CLAIMED = "claimed"
RUNNING = "running"
CHECKPOINTED = "checkpointed"
DONE = "done"
FAILED = "failed"
CANCELLED = "cancelled"
REJECTED = "rejected"

#: States in which a job waits for a worker.
WAITING_STATES = frozenset({QUEUED, CHECKPOINTED})
#: States in which a job's task belongs on its worker.
PLACED_STATES = frozenset({CLAIMED, RUNNING})
ENDED_STATES = frozenset({DONE, FAILED, CANCELLED, REJECTED})

ALLOWED_TRANSITIONS = {
    QUEUED: {CLAIMED, CANCELLED, REJECTED, FAILED},
    CLAIMED: {RUNNING, QUEUED, CHECKPOINTED, DONE, FAILED, CANCELLED},
    RUNNING: {QUEUED, CHECKPOINTED, DONE, FAILED, CANCELLED},
    CHECKPOINTED: {CLAIMED, CANCELLED, REJECTED, FAILED},
    DONE: set(),
    FAILED: set(),
    CANCELLED: set(),
    REJECTED: set(),
}

#: Workers on which a job failed that its record names.
MAX_FAILED_ON = 8


class JobSpec(NamedTuple):
    """A job as its team declared it; sizes and run times are inaccurate.

    :ivar id: unique id within the pool.
    :ivar pool: pool whose workers run it.
    :ivar team: team whose quota it uses.
    :ivar kind: jobs of one kind and team use similar resources.
    :ivar declared: resources that the team expects it to use.
    :ivar declared_s: run time that the team expects.
    :ivar urgency: 0 is the most urgent.
    :ivar at_most_once: whether it must never start twice.
    :ivar can_checkpoint: whether its progress can be saved.
    :ivar group: jobs that should be spread; by default team and kind.
    """

    id: str
    pool: str
    team: str
    kind: str
    declared: Resources
    declared_s: float = 60.0
    urgency: int = 1
    at_most_once: bool = False
    can_checkpoint: bool = False
    group: str = ""


class TaskRecord(NamedTuple):
    """A job's task on a worker.

    :ivar id: ``POOL/JOB/ATTEMPT``.
    :ivar worker: worker that may run it.
    :ivar allocated: resources that are set aside for it.
    :ivar fence: fencing token of the placer that claimed it.
    :ivar claimed_s: when it was claimed, seconds since the epoch.
    """

    id: str
    worker: str
    allocated: Resources
    fence: int
    claimed_s: float


class JobRecord(NamedTuple):
    """A job and its state; changed by compare-and-swap.

    :ivar spec: what was submitted.
    :ivar state: one of the states above.
    :ivar submitted_s: seconds since the epoch.
    :ivar attempt: number of the last task, 0 for none yet.
    :ivar task: the task that a worker may be running, or None.
    :ivar failed_on: workers on which its tasks failed.
    :ivar saved: whether a checkpoint exists.
    :ivar reason: why it ended or waits again.
    :ivar ended_s: when it ended, 0 while it has not.
    """

    spec: JobSpec
    state: str = QUEUED
    submitted_s: float = 0.0
    attempt: int = 0
    task: TaskRecord | None = None
    failed_on: tuple[str, ...] = ()
    saved: bool = False
    reason: str = ""
    ended_s: float = 0.0

    def transition(self, state: str, **changes) -> "JobRecord":
        """Return the record in another state.

        :raises JobStateError: if that change is not allowed.
        """
        if state not in ALLOWED_TRANSITIONS[self.state]:
            raise JobStateError(self.spec.id, self.state, state)
        return self._replace(state=state, **changes)


class QuotaRecord(NamedTuple):
    """What a team's tasks in one pool may be allocated at the same time.

    :ivar limit: the sum over its tasks; a team without a record has none.
    """

    limit: Resources


class QuarantinedWorker(NamedTuple):
    """A worker that gets no new tasks.

    :ivar worker: name of the worker.
    :ivar until_s: end of the quarantine, seconds since the epoch.
    :ivar reason: why.
    """

    worker: str
    until_s: float
    reason: str


class QuarantineRecord(NamedTuple):
    """The quarantined workers of a pool; written by the pool's placer.

    :ivar workers: the workers.
    """

    workers: tuple[QuarantinedWorker, ...] = ()


def job_key(pool: str, job: str) -> str:
    """Return the store key of a job."""
    return f"{JOB_PREFIX}{pool}/{job}"


def quota_key(pool: str, team: str) -> str:
    """Return the store key of a team's quota in a pool."""
    return f"{QUOTA_PREFIX}{pool}/{team}"


def task_id(pool: str, job: str, attempt: int) -> str:
    """Return the id of a job's task."""
    return f"{pool}/{job}/{attempt}"
