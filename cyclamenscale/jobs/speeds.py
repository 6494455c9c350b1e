"""Finds slow and stalled workers by the progress of their runs.

A slow or stalled worker responds to polls like a healthy one. It is detected
by how long its runs take compared with tasks of the same steps elsewhere. A
single long task is not evidence, so a worker is classified by the median of
several runs, relative to its pool, since all estimates of a pool may be off.
"""

from collections import deque
from statistics import median, median_low
from typing import NamedTuple

from cyclamenscale.jobs.orders import WorkerOrders
from cyclamenscale.jobs.placement import Placement
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.steps import StepState, Task
from cyclamenscale.jobs.worker import RUNNING, Run, Worker

#: Time between two classifications of the workers.
CHECK_INTERVAL_S = 0.25

#: A worker is slow if its runs take this many times as long as the pool's.
#: Reading data from another rack can already double the duration of a run.
SLOW_FACTOR = 3.0

#: Minimum number of runs, and of different jobs, to classify a worker by.
MIN_RUNS = 3
MIN_JOBS = 2

#: Minimum number of runs of other workers in the pool to compute its median.
MIN_POOL_RUNS = 6

#: Finished runs count for this long; runs from before a worker became slow
#: would hide that it is.
SAMPLE_MAX_AGE_S = 1.2
SAMPLES_LIMIT = 32

#: A slow worker gets one run at a time. After this time without further
#: evidence of slowness it is treated like the others again.
SLOW_TIMEOUT_S = 8.0

#: From this percentage on, progress doesn't predict the end of a run.
NEAR_END_PERCENT = 99

#: Ratio used for a run without progress, and the upper limit of a ratio; also
#: the remaining time in seconds of a run without progress.
STALLED_RATIO = 100.0

#: A run is moved if its remaining time is this many times the time that a
#: whole run would take elsewhere.
MOVE_FACTOR = 2.0

#: Time to stop a run, receive its end and start the next one.
MOVE_OVERHEAD_S = 0.4

#: Maximum number of moves of one task; a task that is slow everywhere stays
#: in place.
MAX_MOVES = 2


class Sample(NamedTuple):
    """The speed of one run on a worker.

    :ivar at_s: when it was measured.
    :ivar ratio: duration of the run as a multiple of the expected one.
    :ivar job: id of the job.
    """

    at_s: float
    ratio: float
    job: str


class SpeedMonitor:
    """Marks slow workers and moves their runs.

    :param state: state of the term.
    :param orders: stops runs.
    :param placement: finds other workers and starts copies.
    """

    def __init__(
        self, state: State, orders: WorkerOrders, placement: Placement
    ):
        """Initialise with no samples."""
        self.state = state
        self.orders = orders
        self.placement = placement
        self.due_s = 0.0
        #: Samples of finished runs by worker id.
        self.ended_samples: dict[str, deque[Sample]] = {}
        #: Workers and rates of the current runs of each step.
        self.rates_by_step: dict[StepState, list[tuple[Worker, float]]] = {}

    def record_done(self, run: Run, now_s: float) -> None:
        """Record the duration of a successful run."""
        if not run.task or run.inherited or run.task.step.spec.long_running:
            return
        duration_s = now_s - run.started_s
        step = run.task.step
        pool = run.worker.record.pool
        sample = Sample(
            now_s,
            duration_s / self.expected_s(step, run.worker),
            step.job.record.id,
        )
        samples = self.ended_samples.setdefault(
            run.worker.id, deque(maxlen=SAMPLES_LIMIT)
        )
        samples.append(sample)
        if step.spec.estimate_ms:
            ratio = duration_s * 1000 / step.spec.estimate_ms
            self.state.estimate_bias.record(pool, ratio)
        step.record_duration(duration_s)

    def expected_s(self, step: StepState, worker: Worker) -> float:
        """Return the expected duration of a task of a step.

        The tasks of a step are alike, so other runs of the step predict the
        duration better than the estimate does.

        :param worker: the worker to classify; its current runs are excluded.
        """
        durations_s = step.durations_s + [
            100 / rate
            for other, rate in self.rates_by_step.get(step, ())
            if other is not worker
        ]
        if len(durations_s) > 1:
            return max(median(durations_s), 0.01)
        bias = self.state.estimate_bias.median(step.job.queue.pool)
        return max(step.estimate_s * bias, 0.01)

    def run(self, now_s: float) -> None:
        """Classify all workers when due, and move runs off slow ones."""
        if now_s < self.due_s:
            return
        self.due_s = now_s + CHECK_INTERVAL_S
        self.collect_rates()
        pools: dict[str, dict[Worker, list[Sample]]] = {}
        for worker in self.state.workers.values():
            if worker.terminated or worker.failed_polls:
                continue
            samples = self.samples(worker, now_s)
            pools.setdefault(worker.record.pool, {})[worker] = samples
        for pool_samples in pools.values():
            for worker, samples in pool_samples.items():
                self.classify_worker(worker, samples, pool_samples)
        for worker in list(self.state.workers.values()):
            if (
                worker.slow
                and not worker.failed_polls
                and not worker.terminated
            ):
                self.move_slow_runs(worker)
        for name in self.ended_samples.keys() - self.state.workers.keys():
            del self.ended_samples[name]

    def collect_rates(self) -> None:
        """Collect the rates of all runs by step."""
        self.rates_by_step = {}
        for worker in self.state.workers.values():
            for run in worker.runs.values():
                if run.task and run.rate:
                    rates = self.rates_by_step.setdefault(run.task.step, [])
                    rates.append((worker, run.rate))

    def samples(self, worker: Worker, now_s: float) -> list[Sample]:
        """Return samples of a worker's current and recent runs."""
        found = [
            sample
            for sample in self.ended_samples.get(worker.id, ())
            if now_s - sample.at_s < SAMPLE_MAX_AGE_S
        ]
        for run in worker.runs.values():
            if not run.task or not is_representative(run) or run.rate is None:
                continue
            ratio = STALLED_RATIO
            if run.rate > 0:
                expected_s = self.expected_s(run.task.step, worker)
                ratio = min(100 / run.rate / expected_s, STALLED_RATIO)
            found.append(Sample(now_s, ratio, run.task.job.record.id))
        return found

    def classify_worker(
        self,
        worker: Worker,
        samples: list[Sample],
        pool: dict[Worker, list[Sample]],
    ) -> None:
        """Decide whether a worker is slow.

        :param samples: samples of this worker.
        :param pool: samples of all workers in its pool.
        """
        by_job: dict[str, list[float]] = {}
        for sample in samples:
            by_job.setdefault(sample.job, []).append(sample.ratio)
        # One median per job, so that a job with long tasks can't dominate.
        ratios = [median(found) for found in by_job.values()]
        ratio = median_low(ratios) if ratios else 0.0
        others = [
            sample.ratio
            for other, found in pool.items()
            if other is not worker
            for sample in found
        ]
        pool_ratio = median(others) if len(others) >= MIN_POOL_RUNS else 1.0
        enough = len(samples) >= MIN_RUNS and len(by_job) >= MIN_JOBS
        limit = SLOW_FACTOR * pool_ratio
        stalled = is_stalled(worker)
        slow = stalled or (enough and ratio > limit)
        if worker.slow and not slow:
            since_s = worker.slow_since_s
            recovered = any(
                sample.ratio < limit and sample.at_s > since_s
                for sample in samples
            )
            slow = (
                not recovered and self.state.clock() < since_s + SLOW_TIMEOUT_S
            )
        elif slow:
            worker.slow_since_s = self.state.clock()
        if slow != worker.slow:
            worker.slow = slow
            self.state.events.note(
                "worker.slow" if worker.slow else "worker.recovered",
                worker=worker.id,
                pool=worker.record.pool,
                stalled=stalled,
                runs=len(samples),
                jobs=len(by_job),
                ratio=round(ratio, 2),
                usual=round(pool_ratio, 2),
            )
            self.state.mark_changed()

    def move_slow_runs(self, worker: Worker) -> None:
        """Move the runs of a slow worker that would end sooner elsewhere."""
        for run in list(worker.runs.values()):
            task = run.task
            if (
                not task
                or not is_representative(run)
                or run.rate is None
                or task.done
                or task.job.ended
                or task.moves >= MAX_MOVES
                or len(task.runs) > 1
            ):
                continue
            remaining_s = (
                (100 - run.percent) / run.rate
                if run.rate > 0
                else STALLED_RATIO
            )
            elsewhere_s = MOVE_OVERHEAD_S + self.expected_s(task.step, worker)
            if remaining_s > MOVE_FACTOR * elsewhere_s:
                self.move_run(run, task, remaining_s)

    def move_run(self, run: Run, task: Task, remaining_s: float) -> None:
        """Start a copy of a run elsewhere, or stop it to restart its task."""
        now_s = self.state.clock()
        if not self.state.may_start():
            return
        if not self.placement.find_other_worker(task, now_s):
            return
        task.moves += 1
        self.state.metrics.incr("jobs.moved_off_slow")
        if task.step.spec.allows_copies:
            self.placement.start_copy(task, now_s)
        else:
            task.avoided_workers.add(run.worker.id)
            why = f"its worker is slow, {remaining_s:.1f} s would be left"
            self.orders.stop(run, why)


def is_stalled(worker: Worker) -> bool:
    """Return whether no run on a worker makes progress.

    Runs on a healthy worker always do, so one run is enough evidence.
    """
    rates = [
        run.rate
        for run in worker.runs.values()
        if run.task and is_representative(run) and run.rate is not None
    ]
    return bool(rates) and not any(rates)


def is_representative(run: Run) -> bool:
    """Return whether the speed of a run reflects that of its worker."""
    spec = run.task.step.spec
    return (
        run.phase == RUNNING
        and not spec.long_running
        and not spec.best_effort
        and not spec.gang
        and run.throttle_percent == 100
        and run.percent < NEAR_END_PERCENT
    )
