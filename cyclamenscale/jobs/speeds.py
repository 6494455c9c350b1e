"""Finds slow and stalled workers by the progress of their runs.

A worker that is slow or stands still answers looks like a sound one. What
tells is how long its runs take against what their steps take elsewhere. A
single long task is no sign: a worker is judged by the median of several
runs, and against its pool, whose estimates may all be off.
"""

from collections import deque
from statistics import median, median_low
from typing import NamedTuple

from cyclamenscale.jobs.orders import Orders
from cyclamenscale.jobs.placement import Placement
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.steps import StepState, Task
from cyclamenscale.jobs.worker import RUNNING, Run, Worker

#: Time between two judgements.
INTERVAL_S = 0.25

#: A worker is slow if its runs take this many times as long as the pool's;
#: data on another rack makes them take up to twice as long.
SLOW_FACTOR = 3.0

#: Runs, and different jobs, that a worker is judged by at least.
RUNS_LEAST = 3
JOBS_LEAST = 2

#: Runs of other workers of a pool that give its median.
POOL_RUNS_LEAST = 6

#: Ended runs count this long; those from before a worker turned slow would
#: hide it.
MEMORY_S = 1.2
SAMPLES_LIMIT = 32

#: A slow worker is tried with one run at a time, and like the others again
#: after this time if no run has shown anything.
SLOW_S = 8.0

#: Percent from which on a run's end is not told by its progress.
NEAR_END = 99

#: Ratio that stands for a run without any progress.
STALLED = 100.0

#: A run is moved if what is left of it takes this many times as long as
#: all of it would elsewhere.
MOVE_FACTOR = 2.0

#: Time for a stop, its end and the next start.
MOVE_S = 0.4

#: Moves of one task; a task that is slow everywhere stays.
MOVES_LIMIT = 2

#: Ended runs of a pool that show how far its estimates are off.
BIAS_RUNS = 64


class Sample(NamedTuple):
    """How a run went on a worker.

    :ivar at_s: when that was seen.
    :ivar ratio: its time as a multiple of what was expected.
    :ivar job: id of its job.
    """

    at_s: float
    ratio: float
    job: str


class Speeds:
    """Marks slow workers and moves their runs.

    :param state: shared knowledge.
    :param orders: stops runs.
    :param placement: knows whether there is room elsewhere.
    """

    def __init__(self, state: State, orders: Orders, placement: Placement):
        """Start without samples."""
        self.state = state
        self.orders = orders
        self.placement = placement
        self.due_s = 0.0
        #: Samples of ended runs by worker id.
        self.ended: dict[str, deque[Sample]] = {}
        #: By pool, how the times of ended runs relate to their estimates.
        self.biases: dict[str, deque[float]] = {}
        #: Workers and rates of the runs of each step, as last judged.
        self.rates: dict[StepState, list[tuple[Worker, float]]] = {}

    def note_done(self, run: Run, now_s: float) -> None:
        """Take a run that was done into account."""
        if not run.task or run.adopted or run.task.step.spec.long_running:
            return
        ran_s = now_s - run.started_s
        step = run.task.step
        pool = run.worker.entry.pool
        sample = Sample(
            now_s,
            ran_s / self.expected_s(step, run.worker),
            step.job.record.id,
        )
        samples = self.ended.setdefault(
            run.worker.id, deque(maxlen=SAMPLES_LIMIT)
        )
        samples.append(sample)
        if step.spec.estimate_ms:
            biases = self.biases.setdefault(pool, deque(maxlen=BIAS_RUNS))
            biases.append(ran_s * 1000 / step.spec.estimate_ms)
        step.note_ran(ran_s)

    def expected_s(self, step: StepState, worker: Worker) -> float:
        """Return how long a task of a step should take.

        Tasks of a step are alike, so that the others tell more than the
        estimate.

        :param worker: left out, since it is to be judged.
        """
        times_s = step.ran_s + [
            100 / rate
            for other, rate in self.rates.get(step, ())
            if other is not worker
        ]
        if len(times_s) > 1:
            return max(median(times_s), 0.01)
        biases = self.biases.get(step.job.queue.pool)
        bias = median(biases) if biases else 1.0
        return max(step.estimate_s * bias, 0.01)

    def run(self, now_s: float) -> None:
        """Judge all workers when it is time, and move runs off slow ones."""
        if now_s < self.due_s:
            return
        self.due_s = now_s + INTERVAL_S
        self.note_rates()
        pools: dict[str, dict[Worker, list[Sample]]] = {}
        for worker in self.state.workers.values():
            if worker.gone or worker.failed_looks:
                continue
            samples = self.samples(worker, now_s)
            pools.setdefault(worker.entry.pool, {})[worker] = samples
        for found in pools.values():
            for worker, samples in found.items():
                self.judge(worker, samples, found)
        for worker in list(self.state.workers.values()):
            if worker.slow and not worker.failed_looks and not worker.gone:
                self.relieve(worker)
        for name in self.ended.keys() - self.state.workers.keys():
            del self.ended[name]

    def note_rates(self) -> None:
        """Gather the rates of all runs by their steps."""
        self.rates = {}
        for worker in self.state.workers.values():
            for run in worker.runs.values():
                if run.task and run.rate:
                    rates = self.rates.setdefault(run.task.step, [])
                    rates.append((worker, run.rate))

    def samples(self, worker: Worker, now_s: float) -> list[Sample]:
        """Return how the runs of a worker go, and went of late."""
        found = [
            sample
            for sample in self.ended.get(worker.id, ())
            if now_s - sample.at_s < MEMORY_S
        ]
        for run in worker.runs.values():
            if not run.task or not is_judged(run) or run.rate is None:
                continue
            ratio = STALLED
            if run.rate > 0:
                expected_s = self.expected_s(run.task.step, worker)
                ratio = min(100 / run.rate / expected_s, STALLED)
            found.append(Sample(now_s, ratio, run.task.job.record.id))
        return found

    def judge(
        self,
        worker: Worker,
        samples: list[Sample],
        pool: dict[Worker, list[Sample]],
    ) -> None:
        """Decide whether a worker is slow.

        :param samples: its own.
        :param pool: those of all workers of its pool.
        """
        by_job: dict[str, list[float]] = {}
        for sample in samples:
            by_job.setdefault(sample.job, []).append(sample.ratio)
        # A job with long tasks must not stand for the whole worker.
        ratios = [median(found) for found in by_job.values()]
        ratio = median_low(ratios) if ratios else 0.0
        others = [
            sample.ratio
            for other, found in pool.items()
            if other is not worker
            for sample in found
        ]
        usual = median(others) if len(others) >= POOL_RUNS_LEAST else 1.0
        enough = len(samples) >= RUNS_LEAST and len(by_job) >= JOBS_LEAST
        limit = SLOW_FACTOR * usual
        stalled = is_stalled(worker)
        slow = stalled or (enough and ratio > limit)
        if worker.slow and not slow:
            since_s = worker.slow_since_s
            sound = any(
                sample.ratio < limit and sample.at_s > since_s
                for sample in samples
            )
            slow = not sound and self.state.clock() < since_s + SLOW_S
        elif slow:
            worker.slow_since_s = self.state.clock()
        if slow != worker.slow:
            worker.slow = slow
            self.state.events.note(
                "worker.slow" if worker.slow else "worker.recovered",
                worker=worker.id,
                pool=worker.entry.pool,
                stalled=stalled,
                runs=len(samples),
                jobs=len(by_job),
                ratio=round(ratio, 2),
                usual=round(usual, 2),
            )
            self.state.touch()

    def relieve(self, worker: Worker) -> None:
        """Move runs that would end sooner elsewhere."""
        for run in list(worker.runs.values()):
            task = run.task
            if (
                not task
                or not is_judged(run)
                or run.rate is None
                or task.done
                or task.job.ended
                or task.moves >= MOVES_LIMIT
                or len(task.runs) > 1
            ):
                continue
            left_s = (
                (100 - run.percent) / run.rate if run.rate > 0 else STALLED
            )
            elsewhere_s = MOVE_S + self.expected_s(task.step, worker)
            if left_s > MOVE_FACTOR * elsewhere_s:
                self.move(run, task, left_s)

    def move(self, run: Run, task: Task, left_s: float) -> None:
        """Start a copy of a run elsewhere, or stop it to start it anew."""
        now_s = self.state.clock()
        if not self.state.may_start():
            return
        if not self.placement.find_other(task, now_s):
            return
        task.moves += 1
        self.state.metrics.incr("jobs.moved_off_slow")
        if task.step.spec.allows_copies:
            self.placement.copy(task, now_s)
        else:
            task.avoid.add(run.worker.id)
            why = f"its worker is slow, {left_s:.1f} s would be left"
            self.orders.stop(run, why)


def is_stalled(worker: Worker) -> bool:
    """Return whether nothing on a worker progresses.

    Sound runs always do, so that one run is enough to tell.
    """
    rates = [
        run.rate
        for run in worker.runs.values()
        if run.task and is_judged(run) and run.rate is not None
    ]
    return bool(rates) and not any(rates)


def is_judged(run: Run) -> bool:
    """Return whether a run's time tells something of its worker."""
    spec = run.task.step.spec
    return (
        run.phase == RUNNING
        and not spec.long_running
        and not spec.best_effort
        and not spec.gang
        and run.paced == 100
        and run.percent < NEAR_END
    )
