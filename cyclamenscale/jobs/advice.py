"""Tickets of queues whose policy allows only some workers a step."""

from concurrent.futures import Future
from typing import NamedTuple

from cyclamenscale.jobs.ports import WorkerCalls
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.steps import StepState
from cyclamenscale.jobs.worker import Worker

#: Workers named in one call; the service takes 100.
WORKERS_LIMIT = 30

#: Steps whose answers are kept.
STEPS_LIMIT = 2000

#: Pause after a call that failed or was refused.
RETRY_S = 0.2

#: A ticket is not used in the last part of its validity.
MARGIN_S = 0.3


class StepTickets(NamedTuple):
    """Tickets of one step.

    :ivar tickets: ticket by id of the worker.
    :ivar asked: ids of the workers asked for.
    :ivar end_s: when they run out.
    """

    tickets: dict[str, str]
    asked: frozenset[str]
    end_s: float


class Tickets:
    """Asks for tickets and keeps them while they hold.

    :param state: shared knowledge.
    :param calls: the advice service is one of the worker calls.
    """

    def __init__(self, state: State, calls: WorkerCalls):
        """Start without tickets."""
        self.state = state
        self.calls = calls
        self.known: dict[str, StepTickets] = {}
        self.retry_s: dict[str, float] = {}
        self.in_flight = False

    def allows(self, step: StepState, worker: Worker) -> bool:
        """Return whether a step may start on a worker, asking if unknown."""
        advice = step.job.queue.advice
        if not advice:
            return True
        found = self.known.get(step_name(step))
        now_s = self.state.clock()
        if not found or now_s > found.end_s or worker.id not in found.asked:
            self.ask(step, now_s)
            return False
        return worker.id in found.tickets

    def find(self, step: StepState, worker: Worker) -> str:
        """Return the ticket for a worker, or an empty text."""
        found = self.known.get(step_name(step))
        return found.tickets.get(worker.id, "") if found else ""

    def ask(self, step: StepState, now_s: float) -> None:
        """Ask for tickets on the workers of the step's pool."""
        name = step_name(step)
        if self.in_flight or now_s < self.retry_s.get(name, 0.0):
            return
        pool = step.job.queue.pool
        need = step.spec.need
        able = [
            worker
            for worker in self.state.workers.values()
            if worker.entry.pool == pool
            and not worker.entry.leaving
            and not worker.failed_polls
            and need.fits(worker.entry.capacity)
        ]
        able.sort(key=lambda worker: -worker.free_share)
        asked = [worker.id for worker in able[:WORKERS_LIMIT]]
        if not asked:
            return
        self.in_flight = True
        valid_s = step.job.queue.advice.validity_ms / 1000 - MARGIN_S

        def answered(done: Future) -> None:
            self.in_flight = False
            if done.exception() or done.result() is None:
                self.retry_s[name] = self.state.clock() + RETRY_S
                self.state.metrics.incr("jobs.advice_failed")
                return
            if len(self.known) >= STEPS_LIMIT:
                self.known.clear()
                self.retry_s.clear()
            # Validity is counted from the question, to be safe.
            self.known[name] = StepTickets(
                done.result(), frozenset(asked), now_s + valid_s
            )
            self.state.touch()

        self.calls.advise(name, asked).add_done_callback(answered)


def step_name(step: StepState) -> str:
    """Return the name of a step as the advice service knows it."""
    return f"{step.job.record.id}.{step.occurrence}.{step.number}"
