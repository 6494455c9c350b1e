"""Records of jobs, queues, pools, workers and machines.

Fields whose names end in ``_ms`` are milliseconds. Those that hold a
wall-clock time are documented as such.
"""

from typing import NamedTuple

from cyclamenscale.fleet.ports import Resources

#: States of a job, as reported to callers.
QUEUED = "queued"
RUNNING = "running"
DONE = "done"
FAILED = "failed"
CANCELLED = "cancelled"

#: States in which a job has ended and that never change again.
FINAL_STATES = frozenset((DONE, FAILED, CANCELLED))

#: Ways in which a run ends.
END_DONE = "done"
END_FAILED = "failed"
END_STOPPED = "stopped"
END_EXPIRED = "lapsed"


class Advice(NamedTuple):
    """Cost of a queue's placement advice, and validity of its tickets.

    :ivar decision_ms: duration of one call.
    :ivar per_worker_ms: additional duration per worker named in the call.
    :ivar validity_ms: how long a ticket is valid.
    """

    decision_ms: float
    per_worker_ms: float
    validity_ms: float


class Queue(NamedTuple):
    """A queue that callers submit jobs to.

    :ivar name: unique name.
    :ivar host: host name that callers use.
    :ivar prefix: path prefix that selects the queue.
    :ivar pool: pool whose workers run the tasks.
    :ivar priority: priority of its jobs; 0 is the highest.
    :ivar attempts: failed runs of a task after which its job has failed.
    :ivar stretch: objective as a multiple of the critical path of a job.
    :ivar target_ms: constant added to that objective.
    :ivar advice: set if starting a task requires a placement ticket.
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
    :ivar admission_check: whether its workers refuse tasks that don't fit.
    :ivar standby: whether its machines are powered off and cost nothing.
    """

    name: str
    admission_check: bool = True
    standby: bool = False


class Manifest(NamedTuple):
    """The operators' complete configuration of queues and pools.

    :ivar version: version number, higher with each change.
    :ivar queues: the queues by name.
    :ivar pools: the pools by name.
    :ivar body_limit_bytes: maximum size of a request body.
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]
    body_limit_bytes: int = 262144

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for a path."""
        found = None
        for queue in self.queues.values():
            if queue.host == host and path.startswith(queue.prefix):
                if not found or len(queue.prefix) > len(found.prefix):
                    found = queue
        return found


class Step(NamedTuple):
    """A step of a job: a number of tasks with the same specification.

    :ivar count: number of tasks.
    :ivar need: resources that one task requires.
    :ivar estimate_ms: estimated duration of a task.
    :ivar depends_on: numbers of the steps that must be done first.
    :ivar gang: whether all tasks must run at the same time.
    :ivar same_rack: whether the tasks run much faster on one rack.
    :ivar label: label that a worker must have, or empty.
    :ivar rack: rack near the step's data, or empty.
    :ivar max_per_worker: maximum number of the step's tasks on one worker,
        0 for no limit.
    :ivar allows_copies: whether speculative copies of a task may run at
        the same time.
    :ivar long_running: whether the tasks run until the job is cancelled.
    :ivar checkpoints: whether tasks save their progress.
    :ivar image: image that the tasks run.
    :ivar tail_target_ms: bound on the tail latency of a task that serves
        requests, 0 if it serves none.
    :ivar best_effort: whether the tasks only use resources that other
        tasks leave free.
    :ivar max_unavailable: maximum number of tasks that the system may
        interrupt at once, 0 if not given.
    """

    count: int
    need: Resources
    estimate_ms: float = 0.0
    depends_on: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    allows_copies: bool = False
    long_running: bool = False
    checkpoints: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    best_effort: bool = False
    max_unavailable: int = 0


class Recurrence(NamedTuple):
    """When the occurrences of a recurring job are due.

    :ivar first_ms: wall-clock time of the first occurrence.
    :ivar interval_ms: time between two occurrences.
    :ivar count: number of occurrences.
    """

    first_ms: int
    interval_ms: int
    count: int


class JobSpec(NamedTuple):
    """A job as a caller submits it.

    :ivar payload: opaque text passed to the workers.
    :ivar steps: the steps.
    :ivar recurrence: set for a recurring job.
    """

    payload: str
    steps: tuple[Step, ...]
    recurrence: Recurrence | None = None


class JobRecord(NamedTuple):
    """An accepted job as stored; it never changes.

    :ivar id: id chosen by the caller.
    :ivar queue: the queue at acceptance, used if the current manifest has
        no queue of that name.
    :ivar manifest_version: version of the manifest that defined the queue.
    :ivar accepted_ms: wall-clock time of acceptance.
    :ivar spec: the job as submitted.
    """

    id: str
    queue: Queue
    manifest_version: int
    accepted_ms: int
    spec: JobSpec


class StepProgress(NamedTuple):
    """Progress of one step of one occurrence.

    :ivar done: bit set of the indices of the tasks that are done.
    :ivar failures: ``(task index, numbers of the failed runs)``.
    :ivar checkpoints: ``(task index, last checkpoint)``.
    """

    done: int = 0
    failures: tuple[tuple[int, tuple[int, ...]], ...] = ()
    checkpoints: tuple[tuple[int, str], ...] = ()


class ProgressRecord(NamedTuple):
    """Progress of a job as stored.

    :ivar state: state of the job, as reported to callers.
    :ivar highest_run: highest run number assigned so far.
    :ivar occurrences: ``(number, progress of each step)`` of occurrences
        that have begun and are not finished.
    :ivar first_unfinished: number of the first unfinished occurrence.
    :ivar finished_out_of_order: higher numbers of finished occurrences.
    """

    state: str = QUEUED
    highest_run: int = 0
    occurrences: tuple[tuple[int, tuple[StepProgress, ...]], ...] = ()
    first_unfinished: int = 0
    finished_out_of_order: tuple[int, ...] = ()


class WorkerRecord(NamedTuple):
    """A worker as it registers itself.

    :ivar id: id of this incarnation of the worker.
    :ivar started_ms: wall-clock time of its start.
    :ivar pool: pool that it belongs to.
    :ivar address: ``host:port``.
    :ivar data_centre: failure domain.
    :ivar rack: failure domain within the data centre.
    :ivar labels: all its labels.
    :ivar capacity: its total resources.
    :ivar leaving: whether it is about to stop.
    :ivar remaining_ms: minimum time until it stops, while it is leaving.
    :ivar machine: name of the machine that it runs on, or empty.
    """

    id: str
    started_ms: int
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
    """A run in progress, as its worker reports it.

    :ivar task: name of the task.
    :ivar run: number of the run.
    :ivar checkpoint: last checkpoint, or empty.
    :ivar percent: share of the work done; 100 for a long-running task that
        is serving.
    :ivar usage: tail latency in ms for a task that serves requests, else
        processors in use.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    usage: float = 0.0


class EndReport(NamedTuple):
    """The end of a run, as its worker reports it.

    :ivar number: sequence number, without gaps, within an incarnation of
        the worker.
    :ivar task: name of the task.
    :ivar run: number of the run.
    :ivar outcome: one of the ways in which a run ends.
    :ivar checkpoint: last checkpoint, or empty.
    """

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str


class WorkerReport(NamedTuple):
    """A worker's response to a poll.

    :ivar clock_ms: time of the worker's own monotonic clock.
    :ivar started_ms: wall-clock time of its start, 0 if not reported.
    :ivar runs: runs in progress.
    :ivar ends: ends of runs that are not acknowledged yet.
    """

    clock_ms: int
    started_ms: int
    runs: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]


#: States of a machine.
MACHINE_UP = "up"
MACHINE_MOVING = "moving"
MACHINE_MAINTENANCE = "upkeep"
MACHINE_DOWN = "down"


class Machine(NamedTuple):
    """A machine as the platform lists it.

    :ivar name: unique name.
    :ivar pool: pool that it belongs to.
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


class MaintenanceWave(NamedTuple):
    """Maintenance of a set of machines, requested by the platform.

    :ivar number: number of the wave.
    :ivar machines: names of the machines.
    :ivar duration_s: time from the request until all should be done.
    :ivar max_down: maximum number of machines down for it at once.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_down: int


class WaveRecord(NamedTuple):
    """Progress of a maintenance wave as stored for the next coordinator.

    :ivar first_seen_ms: wall-clock time at which the wave was first seen.
    :ivar started: machines whose maintenance has started.
    :ivar completion_reported: whether the platform was notified that the
        wave is complete.
    """

    first_seen_ms: int
    started: tuple[str, ...]
    completion_reported: bool


class FleetRecord(NamedTuple):
    """State of the machines as stored for the next coordinator.

    :ivar recently_ordered: machines that orders were recently sent for.
    :ivar initial_pool_sizes: ``(pool, machines)`` as first seen.
    :ivar demand_peaks: ``(pool, wall-clock ms, machines)`` of the latest
        demand peaks.
    """

    recently_ordered: tuple[str, ...] = ()
    initial_pool_sizes: tuple[tuple[str, int], ...] = ()
    demand_peaks: tuple[tuple[str, int, int], ...] = ()


class EntryRecord(NamedTuple):
    """Location of an entry, published to its peers.

    :ivar address: ``host:port`` at which it serves requests of peers.
    :ivar data_centre: data centre in which it runs.
    """

    address: str
    data_centre: str


class EntryCapacity(NamedTuple):
    """Capacity of an entry's machine, published to its peers.

    It is a record of its own, since builds without it can't decode an
    :class:`EntryRecord` with more fields.

    :ivar processors: processors that it may use, 0 if unknown.
    :ivar link_mbps: bandwidth of its network link, 0 if unknown.
    """

    processors: float = 0.0
    link_mbps: float = 0.0


def task_name(job: str, occurrence: int, step: int, index: int) -> str:
    """Return the name that identifies a task on workers."""
    return f"{job}.{occurrence}.{step}.{index}"


def parse_task(name: str) -> tuple[str, int, int, int] | None:
    """Split a task name; return None if it is not one."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])
