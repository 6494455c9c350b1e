"""Throttles best-effort runs to keep serving tasks within their targets.

Best-effort runs slow the serving tasks on the same worker by amounts that
differ by image and change within seconds. Their processor share is cut at
once when a tail latency comes near its target, and raised in small steps
while all tail latencies are well below.
"""

from cyclamenscale.jobs.orders import WorkerOrders
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.worker import RUNNING, Run, Worker

#: Time between decisions for one worker; a report covers half a second.
DECISION_INTERVAL_S = 0.5

#: Tail latencies between these shares of the target change nothing.
HIGH_SHARE = 0.9
LOW_SHARE = 0.7

#: Factor of a cut; step of a raise and lowest share, both in percent.
CUT_FACTOR = 0.5
RAISE_PERCENT = 10
MIN_PERCENT = 5


class Throttling:
    """Sets the processor shares of best-effort runs.

    :param state: state of the term.
    :param orders: sends the shares to the workers.
    """

    def __init__(self, state: State, orders: WorkerOrders):
        """Initialise with no worker throttled."""
        self.state = state
        self.orders = orders
        self.due_s: dict[str, float] = {}

    def run(self, now_s: float) -> None:
        """Set the shares on all workers that are due."""
        for worker in self.state.workers.values():
            if worker.failed_polls or worker.terminated:
                continue
            if self.due_s.get(worker.id, 0.0) <= now_s:
                self.due_s[worker.id] = now_s + DECISION_INTERVAL_S
                self.throttle_worker(worker)
        for worker_id in self.due_s.keys() - self.state.workers.keys():
            del self.due_s[worker_id]

    def throttle_worker(self, worker: Worker) -> None:
        """Set the shares of the best-effort runs on one worker."""
        best_effort = [
            run
            for run in worker.runs.values()
            if run.best_effort and run.phase == RUNNING
        ]
        if not best_effort:
            return
        worst = max(map(tail_share, worker.runs.values()), default=0.0)
        for run in best_effort:
            percent = next_percent(run.throttle_percent, worst)
            if percent != run.throttle_percent:
                self.state.events.note(
                    "task.pace",
                    task=run.name,
                    run=run.number,
                    worker=worker.id,
                    percent=percent,
                    tail_share=round(worst, 2),
                )
                self.orders.throttle(run, percent)


def tail_share(run: Run) -> float:
    """Return the tail latency of a serving run as a share of its target."""
    target_ms = run.task.step.spec.tail_target_ms if run.task else 0.0
    if not target_ms or not run.serving:
        return 0.0
    return run.usage / target_ms


def next_percent(percent: int, worst: float) -> int:
    """Return the next share of a best-effort run.

    :param percent: current share, negative if it is not known.
    :param worst: highest tail latency on the worker, as a share of its
        target.
    """
    current = percent if percent >= 0 else 100
    if worst > HIGH_SHARE:
        return max(int(current * CUT_FACTOR), MIN_PERCENT)
    if worst < LOW_SHARE:
        return min(current + RAISE_PERCENT, 100)
    return percent
