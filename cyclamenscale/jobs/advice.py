"""Placement tickets, for queues whose steps only some workers may run."""

from concurrent.futures import Future
from typing import NamedTuple

from cyclamenscale.jobs.ports import WorkerCalls
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.steps import StepState
from cyclamenscale.jobs.worker import Worker

#: Workers named in one call; the service accepts up to 100.
WORKERS_PER_CALL = 30

#: Steps whose tickets are cached.
CACHED_STEPS_LIMIT = 2000

#: Delay after a call that failed or was refused.
RETRY_DELAY_S = 0.2

#: A ticket is not used this shortly before it expires.
EXPIRY_MARGIN_S = 0.3


class StepTickets(NamedTuple):
    """Tickets of one step.

    :ivar tickets: ticket by worker id.
    :ivar requested: ids of the workers that were requested.
    :ivar expires_s: when the tickets expire.
    """

    tickets: dict[str, str]
    requested: frozenset[str]
    expires_s: float


class Tickets:
    """Requests tickets and caches them while they are valid.

    :param state: state of the term.
    :param calls: worker calls, which include the advice service.
    """

    def __init__(self, state: State, calls: WorkerCalls):
        """Initialise with no tickets."""
        self.state = state
        self.calls = calls
        self.by_step: dict[str, StepTickets] = {}
        self.next_attempt_s: dict[str, float] = {}
        self.in_flight = False

    def allows(self, step: StepState, worker: Worker) -> bool:
        """Return whether a step may start on a worker.

        Requests tickets if none are cached for the step and the worker.
        """
        advice = step.job.queue.advice
        if not advice:
            return True
        found = self.by_step.get(step_name(step))
        now_s = self.state.clock()
        if (
            not found
            or now_s > found.expires_s
            or worker.id not in found.requested
        ):
            self.request(step, now_s)
            return False
        return worker.id in found.tickets

    def find(self, step: StepState, worker: Worker) -> str:
        """Return the ticket for a worker, or an empty string."""
        found = self.by_step.get(step_name(step))
        return found.tickets.get(worker.id, "") if found else ""

    def request(self, step: StepState, now_s: float) -> None:
        """Request tickets for workers of the step's pool."""
        name = step_name(step)
        if self.in_flight or now_s < self.next_attempt_s.get(name, 0.0):
            return
        pool = step.job.queue.pool
        need = step.spec.need
        eligible = [
            worker
            for worker in self.state.workers.values()
            if worker.record.pool == pool
            and not worker.record.leaving
            and not worker.failed_polls
            and need.fits(worker.record.capacity)
        ]
        eligible.sort(key=lambda worker: -worker.free_share)
        requested = [worker.id for worker in eligible[:WORKERS_PER_CALL]]
        if not requested:
            return
        self.in_flight = True
        valid_s = step.job.queue.advice.validity_ms / 1000 - EXPIRY_MARGIN_S

        def handle_response(done: Future) -> None:
            self.in_flight = False
            if done.exception() or done.result() is None:
                self.next_attempt_s[name] = self.state.clock() + RETRY_DELAY_S
                self.state.metrics.incr("jobs.advice_failed")
                return
            if len(self.by_step) >= CACHED_STEPS_LIMIT:
                self.by_step.clear()
                self.next_attempt_s.clear()
            # Validity is counted from the request, which is the safe side.
            self.by_step[name] = StepTickets(
                done.result(), frozenset(requested), now_s + valid_s
            )
            self.state.mark_changed()

        self.calls.advise(name, requested).add_done_callback(handle_response)


def step_name(step: StepState) -> str:
    """Return the name of a step in calls to the advice service."""
    return f"{step.job.record.id}.{step.occurrence}.{step.number}"
