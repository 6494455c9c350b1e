"""Stored records of jobs, quotas and quarantine, and job state transitions.

A job's task is part of its record, so that one compare-and-swap changes
both. The record contains the task for as long as a worker may run it. Until
then, the task's resources count against the team's quota and the worker's
capacity.
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

#: States in which a job waits to be placed on a worker.
WAITING_STATES = frozenset({QUEUED, CHECKPOINTED})
#: States in which a job's task should be running on its worker.
PLACED_STATES = frozenset({CLAIMED, RUNNING})
#: Final states.
ENDED_STATES = frozenset({DONE, FAILED, CANCELLED, REJECTED})

#: States that a job can enter from each state.
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

#: Workers that a job record lists in ``failed_on``; older ones are dropped.
MAX_FAILED_ON = 8


class JobSpec(NamedTuple):
    """A job as its team submitted it.

    The declared resources and run time are inaccurate.

    :ivar id: unique id within the pool.
    :ivar pool: pool whose workers run the job.
    :ivar team: team whose quota the job uses.
    :ivar kind: jobs of one kind and team use similar resources.
    :ivar declared: resources that the team expects the job to use.
    :ivar declared_s: run time that the team expects, in seconds.
    :ivar urgency: 0 is the most urgent.
    :ivar at_most_once: whether the job must never start twice.
    :ivar can_checkpoint: whether the job's progress can be saved.
    :ivar group: name of the group whose tasks are spread over failure
        domains; empty for the jobs of the same team and kind.
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
    :ivar worker: worker that may run the task.
    :ivar allocated: resources allocated to the task.
    :ivar fence: fencing token of the placer that claimed the worker.
    :ivar claimed_s: time of the claim, in seconds since the epoch.
    """

    id: str
    worker: str
    allocated: Resources
    fence: int
    claimed_s: float


class JobRecord(NamedTuple):
    """A job and its state; updated by compare-and-swap.

    :ivar spec: the submitted job.
    :ivar state: one of the states above.
    :ivar submitted_s: time of submission, in seconds since the epoch.
    :ivar attempt: number of the latest task, 0 before the first one.
    :ivar task: the task that a worker may be running, or None.
    :ivar failed_on: names of workers on which the job's tasks failed.
    :ivar saved: whether a checkpoint exists.
    :ivar reason: why the job ended or was queued again.
    :ivar ended_s: when the job ended, in seconds since the epoch; 0 until
        then.
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
        """Return a copy of the record in another state.

        :param state: the new state.
        :param changes: other fields to replace.
        :raises JobStateError: if the transition is not allowed.
        """
        if state not in ALLOWED_TRANSITIONS[self.state]:
            raise JobStateError(self.spec.id, self.state, state)
        return self._replace(state=state, **changes)


class QuotaRecord(NamedTuple):
    """Quota of one team in one pool.

    A team without a quota record has no limit.

    :ivar limit: upper bound on the sum of the team's allocations.
    """

    limit: Resources


class QuarantinedWorker(NamedTuple):
    """A worker in quarantine, which gets no new tasks.

    :ivar worker: name of the worker.
    :ivar until_s: end of the quarantine, in seconds since the epoch.
    :ivar reason: why the worker was quarantined.
    """

    worker: str
    until_s: float
    reason: str


class QuarantineRecord(NamedTuple):
    """The quarantined workers of a pool; written by the pool's placer.

    :ivar workers: the quarantined workers.
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
