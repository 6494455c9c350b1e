"""Records of jobs, queues, pools, workers and machines.

Times that end in ``_ms`` are whole milliseconds; wall-clock times say so.
"""

from typing import NamedTuple

from cyclamenscale.fleet.ports import Resources

#: States of a job as callers see them.
QUEUED = "queued"
RUNNING = "running"
DONE = "done"
FAILED = "failed"
CANCELLED = "cancelled"

#: States that don't change any more.
FINAL = frozenset((DONE, FAILED, CANCELLED))

#: Ways in which a run ends.
END_DONE = "done"
END_FAILED = "failed"
END_STOPPED = "stopped"
END_LAPSED = "lapsed"


class Advice(NamedTuple):
    """What a queue's placement advice costs and how long it holds.

    :ivar decision_ms: time of one call.
    :ivar per_worker_ms: time for each worker named in it.
    :ivar validity_ms: how long a ticket holds.
    """

    decision_ms: float
    per_worker_ms: float
    validity_ms: float


class Queue(NamedTuple):
    """A queue that callers hand jobs in to.

    :ivar name: unique name.
    :ivar host: host name that callers use.
    :ivar prefix: start of the path.
    :ivar pool: pool whose workers run the tasks.
    :ivar priority: 0 comes first.
    :ivar attempts: failed runs of a task after which its job has failed.
    :ivar stretch: objective as a multiple of the longest chain of tasks.
    :ivar target_ms: added to that objective.
    :ivar advice: set if placement needs tickets.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_ms: float = 1000.0
    advice: Advice | None = None


class Pool(NamedTuple):
    """A pool of machines.

    :ivar name: unique name.
    :ivar guarded: whether its workers refuse what does not fit.
    :ivar standby: whether its machines are off and free of charge.
    """

    name: str
    guarded: bool = True
    standby: bool = False


class Manifest(NamedTuple):
    """The operators' configuration in full.

    :ivar version: rises with each change.
    :ivar queues: the queues by name.
    :ivar pools: the pools by name.
    :ivar body_limit_bytes: larger bodies are refused.
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]
    body_limit_bytes: int = 262144

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, if any."""
        found = None
        for queue in self.queues.values():
            if queue.host == host and path.startswith(queue.prefix):
                if not found or len(queue.prefix) > len(found.prefix):
                    found = queue
        return found


class Step(NamedTuple):
    """A step of a job: tasks that are alike.

    :ivar count: number of tasks.
    :ivar need: resources of one task.
    :ivar estimate_ms: rough duration of a task.
    :ivar after: numbers of the steps that must be done first.
    :ivar gang: whether the tasks work only all together.
    :ivar same_rack: whether one rack is much faster.
    :ivar label: label that a worker must have, or empty.
    :ivar rack: rack near the step's data, or empty.
    :ivar worker_limit: most tasks of the step on one worker, 0 for no limit.
    :ivar copies: whether several copies of a task may run at once.
    :ivar lasting: whether the tasks run until the job is cancelled.
    :ivar checkpoints: whether tasks save their progress.
    :ivar image: what the tasks run.
    :ivar tail_target_ms: bound on a serving task's response times, 0 if
        it serves nobody.
    :ivar fills: whether the tasks only use what others leave.
    :ivar away_limit: most tasks that the system may interrupt at once, 0
        if not stated.
    """

    count: int
    need: Resources
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    worker_limit: int = 0
    copies: bool = False
    lasting: bool = False
    checkpoints: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    fills: bool = False
    away_limit: int = 0


class Timing(NamedTuple):
    """When the occurrences of a job are due.

    :ivar first_ms: wall-clock time of the first.
    :ivar interval_ms: time between two.
    :ivar times: number of occurrences.
    """

    first_ms: int
    interval_ms: int
    times: int


class JobSpec(NamedTuple):
    """What a caller hands in.

    :ivar payload: opaque text for the workers.
    :ivar steps: the steps.
    :ivar timing: set for a job with occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    timing: Timing | None = None


class JobRecord(NamedTuple):
    """An accepted job as stored; it never changes.

    :ivar id: the caller's id.
    :ivar queue: the queue at acceptance, used while a newer manifest has
        none of that name.
    :ivar manifest_version: version that the queue is from.
    :ivar accepted_ms: wall-clock time of acceptance.
    :ivar spec: what was handed in.
    """

    id: str
    queue: Queue
    manifest_version: int
    accepted_ms: int
    spec: JobSpec


class StepProgress(NamedTuple):
    """Progress of one step of one occurrence.

    :ivar done: bit set of the tasks that have ended done.
    :ivar failures: ``(index, numbers of the runs that failed)``.
    :ivar checkpoints: ``(index, checkpoint)`` of tasks that saved.
    """

    done: int = 0
    failures: tuple[tuple[int, tuple[int, ...]], ...] = ()
    checkpoints: tuple[tuple[int, str], ...] = ()


class ProgressRecord(NamedTuple):
    """Progress of a job as stored.

    :ivar state: state as callers see it.
    :ivar highest_run: highest run number given out so far.
    :ivar occurrences: ``(number, progress of each step)`` of those that
        have begun and are not finished.
    :ivar finished: number of the first occurrence that is not finished.
    :ivar finished_early: numbers above that of finished occurrences.
    """

    state: str = QUEUED
    highest_run: int = 0
    occurrences: tuple[tuple[int, tuple[StepProgress, ...]], ...] = ()
    finished: int = 0
    finished_early: tuple[int, ...] = ()


class WorkerEntry(NamedTuple):
    """A worker as it registers itself.

    :ivar id: id of this life of the machine.
    :ivar born_ms: wall-clock time of its start.
    :ivar pool: pool it serves.
    :ivar address: ``host:port``.
    :ivar data_centre: failure domain.
    :ivar rack: failure domain within the data centre.
    :ivar labels: all its labels.
    :ivar capacity: its resources.
    :ivar leaving: whether it is about to stop.
    :ivar remaining_ms: least time left while it is leaving.
    :ivar machine: name of the machine that it runs on, or empty.
    """

    id: str
    born_ms: int
    pool: str
    address: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    leaving: bool = False
    remaining_ms: float = 0.0
    machine: str = ""


class RunReport(NamedTuple):
    """A run on a worker, as the worker reports it.

    :ivar task: name of the task.
    :ivar run: number of the run.
    :ivar checkpoint: last progress saved, or empty.
    :ivar percent: share of the work done; of a lasting task 100 at work.
    :ivar usage: tail in ms of a serving task, else processors in use.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    usage: float = 0.0


class EndReport(NamedTuple):
    """The end of a run, as the worker reports it.

    :ivar number: rises by one with each end in a worker's life.
    :ivar task: name of the task.
    :ivar run: number of the run.
    :ivar how: how it ended.
    :ivar checkpoint: last progress saved, or empty.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class WorkerReport(NamedTuple):
    """A worker's answer to a hold.

    :ivar clock_ms: the worker's own steady clock.
    :ivar born_ms: wall-clock time of its start, 0 if not told.
    :ivar runs: what it runs.
    :ivar ends: ends that are not acknowledged yet.
    """

    clock_ms: int
    born_ms: int
    runs: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]


#: States of a machine.
MACHINE_UP = "up"
MACHINE_MOVING = "moving"
MACHINE_UPKEEP = "upkeep"
MACHINE_DOWN = "down"


class Machine(NamedTuple):
    """A machine as the platform lists it.

    :ivar name: unique name.
    :ivar pool: pool it belongs to.
    :ivar up: whether its state is ``MACHINE_UP``.
    :ivar state: one of the states of a machine.
    :ivar worker: id of its worker, or empty.
    :ivar rack: failure domain.
    """

    name: str
    pool: str
    up: bool
    state: str
    worker: str
    rack: str = ""


class Wave(NamedTuple):
    """Upkeep that the platform requests.

    :ivar number: number of the wave.
    :ivar machines: names of the machines.
    :ivar duration_s: time from the request until all should be done.
    :ivar limit: most machines down for it at once.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    limit: int


class WaveRecord(NamedTuple):
    """Progress of a wave as stored, for the next coordinator.

    :ivar begun_ms: wall-clock time at which it was first seen.
    :ivar done: machines that have begun their upkeep.
    :ivar completed: whether that was told to the platform.
    """

    begun_ms: int
    done: tuple[str, ...]
    completed: bool


class FleetRecord(NamedTuple):
    """What a coordinator leaves to the next one about machines.

    :ivar ordered: machines that it has ordered something for of late.
    :ivar homes: ``(pool, machines)`` as first seen.
    :ivar turns: ``(pool, wall-clock ms, machines)`` of the latest turns.
    """

    ordered: tuple[str, ...] = ()
    homes: tuple[tuple[str, int], ...] = ()
    turns: tuple[tuple[str, int, int], ...] = ()


class EntryRecord(NamedTuple):
    """Where an entry is, for the others.

    :ivar address: ``host:port`` of its answers to peers.
    :ivar data_centre: where it runs.
    """

    address: str
    data_centre: str


def task_name(job: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task on workers."""
    return f"{job}.{occurrence}.{step}.{index}"


def parse_task(name: str) -> tuple[str, int, int, int] | None:
    """Split a task's name, or return None if it is not one."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])
