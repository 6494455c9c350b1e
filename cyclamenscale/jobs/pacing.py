"""Paces filling runs so that serving tasks stay under their target.

Filling runs slow the serving tasks beside them by amounts that differ by
image and change within seconds. The share is cut at once when a tail comes
near its target, and raised in small steps while all tails are well below.
"""

from cyclamenscale.jobs.orders import WorkerOrders
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.worker import RUNNING, Run, Worker

#: Time between two decisions on one worker; reports cover half a second.
INTERVAL_S = 0.5

#: Shares of the target between which the pace is left alone.
HIGH_SHARE = 0.9
LOW_SHARE = 0.7

#: Factor of a cut, step of a raise and least share, in percent.
CUT = 0.5
RAISE = 10
LEAST = 5


class Pacing:
    """Decides on the shares of filling runs.

    :param state: shared knowledge.
    :param orders: sends the shares.
    """

    def __init__(self, state: State, orders: WorkerOrders):
        """Start with all at full speed."""
        self.state = state
        self.orders = orders
        self.due_s: dict[str, float] = {}

    def run(self, now_s: float) -> None:
        """Decide for all workers whose time has come."""
        for worker in self.state.workers.values():
            if worker.failed_polls or worker.terminated:
                continue
            if self.due_s.get(worker.id, 0.0) <= now_s:
                self.due_s[worker.id] = now_s + INTERVAL_S
                self.pace(worker)
        for worker_id in self.due_s.keys() - self.state.workers.keys():
            del self.due_s[worker_id]

    def pace(self, worker: Worker) -> None:
        """Decide for one worker."""
        filling = [
            run
            for run in worker.runs.values()
            if run.fills and run.phase == RUNNING
        ]
        if not filling:
            return
        worst = max(map(tail_share, worker.runs.values()), default=0.0)
        for run in filling:
            percent = next_percent(run.paced, worst)
            if percent != run.paced:
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
    """Return the tail of a serving run as a share of its target."""
    target_ms = run.task.step.spec.tail_target_ms if run.task else 0.0
    if not target_ms or not run.serving:
        return 0.0
    return run.usage / target_ms


def next_percent(percent: int, worst: float) -> int:
    """Return the next share of a filling run.

    :param percent: present share, below 0 if it is not known.
    :param worst: highest tail beside it as a share of its target.
    """
    known = percent if percent >= 0 else 100
    if worst > HIGH_SHARE:
        return max(int(known * CUT), LEAST)
    if worst < LOW_SHARE:
        return min(known + RAISE, 100)
    return percent
