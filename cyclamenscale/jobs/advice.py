"""Placement tickets, for queues whose steps only some workers may run.

The advice service tells which of the named workers may run a step. It
handles one call at a time, so that there is one call in flight here, and the
steps that wait for tickets take turns. What a step's policy allows does not
change; refusals are kept for as long as the job is open.
"""

from concurrent.futures import Future
from itertools import count
from typing import NamedTuple

from cyclamenscale.jobs.model import Advice
from cyclamenscale.jobs.ports import WorkerCalls
from cyclamenscale.jobs.state import NEVER_S, State
from cyclamenscale.jobs.steps import StepState
from cyclamenscale.jobs.worker import Worker

#: Maximum number of workers named in one call; the service accepts 100.
WORKERS_PER_CALL = 30

#: Steps whose tickets and refusals are kept.
KEPT_STEPS_LIMIT = 2000

#: Delay after a call that failed or was refused.
RETRY_DELAY_S = 0.2

#: A ticket is not used this shortly before it expires.
EXPIRY_MARGIN_S = 0.3


class Incarnation(NamedTuple):
    """An incarnation of a worker, for which a ticket or refusal holds.

    :ivar worker: id of the worker.
    :ivar started_ms: its start.
    """

    worker: str
    started_ms: int


class Ticket(NamedTuple):
    """A placement ticket.

    :ivar text: what a start carries.
    :ivar expires_s: when it is no longer used.
    """

    text: str
    expires_s: float


class StepAdvice:
    """What is known about the workers of one step.

    :ivar step: the step.
    :ivar tickets: tickets of the workers that may run it.
    :ivar refused: workers that may not.
    :ivar turn: position among the steps that wait for a call; a step gets
        a new one when it first waits and after each call.
    """

    __slots__ = ("refused", "step", "tickets", "turn")

    def __init__(self, step: StepState, turn: int):
        """Initialise with nothing known."""
        self.step = step
        self.tickets: dict[Incarnation, Ticket] = {}
        self.refused: set[Incarnation] = set()
        self.turn = turn

    def is_known(self, worker: Worker, now_s: float) -> bool:
        """Return whether a call about a worker would tell nothing new."""
        key = incarnation(worker)
        ticket = self.tickets.get(key)
        return key in self.refused or bool(ticket and now_s < ticket.expires_s)


class Tickets:
    """Requests tickets and keeps them while they are valid.

    :param state: state of the term.
    :param calls: worker calls, which include the advice service.
    """

    def __init__(self, state: State, calls: WorkerCalls):
        """Initialise with no tickets."""
        self.state = state
        self.calls = calls
        self.by_step: dict[str, StepAdvice] = {}
        #: Steps that have lacked tickets since the last placement pass began.
        self.waiting: dict[str, StepAdvice] = {}
        self.turns = count(1)
        self.next_attempt_s = NEVER_S
        #: The step that the call in flight is for.
        self.in_flight: StepAdvice | None = None

    def begin_pass(self) -> None:
        """Forget which steps lacked tickets in the last placement pass."""
        self.waiting.clear()

    def allows(self, step: StepState, worker: Worker) -> bool:
        """Return whether a step may start on a worker.

        If nothing is known about the step and the worker, the step waits
        for a call that :meth:`request_next` makes.
        """
        if not step.job.queue.advice:
            return True
        found = self.advice_of(step)
        key = incarnation(worker)
        if key in found.refused:
            return False
        ticket = found.tickets.get(key)
        if ticket and self.state.clock() < ticket.expires_s:
            return True
        if found is not self.in_flight:
            self.waiting[step_name(step)] = found
        return False

    def refuses(self, step: StepState, worker: Worker) -> bool:
        """Return whether a step certainly may not start on a worker."""
        found = self.by_step.get(step_name(step))
        return bool(found and incarnation(worker) in found.refused)

    def find(self, step: StepState, worker: Worker) -> str:
        """Return the ticket for a worker, or an empty string."""
        found = self.by_step.get(step_name(step))
        ticket = found.tickets.get(incarnation(worker)) if found else None
        return ticket.text if ticket else ""

    def discard(self, step: StepState, worker: Worker) -> None:
        """Discard a ticket that a worker has rejected."""
        found = self.by_step.get(step_name(step))
        if found:
            found.tickets.pop(incarnation(worker), None)

    def advice_of(self, step: StepState) -> StepAdvice:
        """Return what is known about a step, created if there is nothing."""
        name = step_name(step)
        found = self.by_step.get(name)
        if found is None or found.step is not step:
            if len(self.by_step) >= KEPT_STEPS_LIMIT:
                self.discard_steps()
            found = self.by_step[name] = StepAdvice(step, next(self.turns))
        return found

    def discard_steps(self) -> None:
        """Discard what is known about steps of ended jobs, or the oldest."""
        kept = {
            name: found
            for name, found in self.by_step.items()
            if not found.step.done and not found.step.job.ended
        }
        surplus = len(kept) - KEPT_STEPS_LIMIT + 1
        for name in list(kept)[: max(surplus, 0)]:
            del kept[name]
        self.state.metrics.incr(
            "jobs.advice_discarded", len(self.by_step) - len(kept)
        )
        self.by_step = kept

    def request_next(self) -> None:
        """Make a call for the step that has waited longest, if one may be."""
        now_s = self.state.clock()
        if self.in_flight or now_s < self.next_attempt_s:
            return
        in_turn = sorted(self.waiting.items(), key=lambda item: item[1].turn)
        for name, found in in_turn:
            del self.waiting[name]
            step = found.step
            if step.job.ended or not step.waiting:
                continue
            asked = self.workers_to_ask(found, now_s)
            if asked:
                self.request(name, found, asked, now_s)
                return

    def workers_to_ask(self, found: StepAdvice, now_s: float) -> list[Worker]:
        """Return the workers that the next call for a step names.

        Those that had a ticket before come first, then the ones with the
        most room.
        """
        step = found.step
        spec, pool = step.spec, step.job.queue.pool
        eligible = [
            worker
            for worker in self.state.workers.values()
            if worker.record.pool == pool
            and not worker.record.leaving
            and not worker.failed_polls
            and not worker.terminated
            and spec.need.fits(worker.record.capacity)
            and (not spec.label or spec.label in worker.record.labels)
            and not found.is_known(worker, now_s)
        ]
        eligible.sort(
            key=lambda worker: (
                incarnation(worker) not in found.tickets,
                -worker.free_share,
            )
        )
        return eligible[: workers_per_call(step.job.queue.advice)]

    def request(
        self, name: str, found: StepAdvice, asked: list[Worker], now_s: float
    ) -> None:
        """Request tickets of a step for some workers."""
        advice = found.step.job.queue.advice
        expected_s = call_duration_s(advice, len(asked))
        named = {worker.id: incarnation(worker) for worker in asked}
        self.in_flight = found

        def handle_response(done: Future) -> None:
            self.in_flight = None
            found.turn = next(self.turns)
            answered_s = self.state.clock()
            error = done.exception()
            allowed = None if error else done.result()
            self.state.events.note(
                "advice.response",
                step=name,
                workers=len(named),
                allowed=-1 if allowed is None else len(allowed),
                refused=len(found.refused),
                waiting=len(self.waiting),
                took_s=round(answered_s - now_s, 3),
                reason=str(error) if error else "",
            )
            if allowed is None:
                self.next_attempt_s = answered_s + RETRY_DELAY_S
                self.state.metrics.incr("jobs.advice_failed")
                return
            took_ms = (answered_s - now_s) * 1000
            self.state.metrics.timing("jobs.advice_ms", took_ms)
            # Counted from the request, which is the safe side, unless the
            # tickets of such a call could then never be used.
            valid_s = advice.validity_ms / 1000 - EXPIRY_MARGIN_S
            issued_s = now_s if expected_s < valid_s else answered_s
            for worker, key in named.items():
                if worker in allowed:
                    found.tickets[key] = Ticket(
                        allowed[worker], issued_s + valid_s
                    )
                else:
                    found.tickets.pop(key, None)
                    found.refused.add(key)
            self.state.mark_changed()
            self.request_next()

        call = self.calls.advise(name, list(named), int(expected_s * 1000))
        call.add_done_callback(handle_response)


def step_name(step: StepState) -> str:
    """Return the name of a step in calls to the advice service."""
    return f"{step.job.record.id}.{step.occurrence}.{step.number}"


def incarnation(worker: Worker) -> Incarnation:
    """Return the current incarnation of a worker."""
    return Incarnation(worker.record.id, worker.record.started_ms)


def call_duration_s(advice: Advice, workers: int) -> float:
    """Return how long the service takes for a call that names workers."""
    return (advice.decision_ms + workers * advice.per_worker_ms) / 1000


def workers_per_call(advice: Advice) -> int:
    """Return how many workers a call may name.

    A call that takes longer than half of the validity of its tickets leaves
    too little time to use them.
    """
    if not advice.per_worker_ms:
        return WORKERS_PER_CALL
    left_ms = advice.validity_ms / 2 - advice.decision_ms
    size = int(left_ms / advice.per_worker_ms)
    return min(max(size, 1), WORKERS_PER_CALL)
