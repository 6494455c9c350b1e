"""Tests of placement tickets, with a service that takes one call at a time."""

from concurrent.futures import Future
from random import Random

from cyclamenscale.errors import CallUnansweredError
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.advice import (
    WORKERS_PER_CALL,
    Tickets,
    workers_per_call,
)
from cyclamenscale.jobs.model import Advice, Step
from cyclamenscale.jobs.ports import OrderResponse
from test.jobs.world import QUEUE, World, settled

SHORT = Step(1, Resources(0.5, 0.1, 0), 300.0)
LASTING = SHORT._replace(count=5, long_running=True)

ADVISED = QUEUE._replace(advice=Advice(10.0, 1.0, 3000.0))

#: Workers of the pool, more than two calls may name.
POOL_SIZE = 62

STEP_S = 0.05


class AdvisedWorld(World):
    """A pool whose queue has advice.

    Each call is answered in the next step of :meth:`run`.

    :param allowed: by job, the workers that may run its steps.
    :ivar tickets: texts of the newest tickets by job and worker.
    :ivar failing: whether all calls fail.
    """

    def __init__(self, allowed: dict[str, set[str]], workers: int = POOL_SIZE):
        """Begin a term and let it poll all workers."""
        super().__init__(workers=workers)
        self.allowed = allowed
        self.failing = False
        self.tickets: dict[tuple[str, str], str] = {}
        self.calls: list[tuple[Future, str, list[str]]] = []
        self.workers.advise = self.advise
        self.lead()
        self.manifest.queues["replan"] = ADVISED
        self.run()

    def advise(self, step, workers, expected_ms):
        """Record a call; only one may be in flight."""
        assert not self.calls
        self.advice_calls.append((step, workers))
        self.calls.append((Future(), step.partition(".")[0], workers))
        return self.calls[0][0]

    def answer(self) -> None:
        """Answer the call in flight."""
        calls, self.calls = self.calls, []
        for outcome, job, workers in calls:
            if self.failing:
                outcome.set_exception(CallUnansweredError("busy"))
                continue
            given = {
                worker: f"t{len(self.advice_calls)}-{worker}"
                for worker in workers
                if worker in self.allowed.get(job, ())
            }
            for worker, text in given.items():
                self.tickets[job, worker] = text
            outcome.set_result(given)

    def run(self, for_s: float = 0.2, step_s: float = STEP_S) -> None:
        """Advance the clock, and answer the call in flight at each step."""
        for _ in range(round(for_s / step_s)):
            super().run(step_s, step_s)
            self.answer()

    def check_start(self, worker, order) -> None:
        """Check that the ticket is the worker's newest."""
        super().check_start(worker, order)
        job = order.task.partition(".")[0]
        if order.ticket != self.tickets.get((job, worker.entry.id)):
            self.violations.append(f"ticket {order.ticket} of {order.task}")

    def calls_for(self, job: str) -> list[list[str]]:
        """Return the workers named in the calls for a job."""
        return [
            workers
            for step, workers in self.advice_calls
            if step.startswith(job)
        ]


def names(numbers) -> set[str]:
    """Return the names of workers by number."""
    return {f"pool-a-{number}" for number in numbers}


def test_workers_that_a_step_may_not_use_are_asked_about_once():
    """Guards against a step that is asked about the same workers for ever.

    The workers that may run it are not among those of the first calls.
    """
    world = AdvisedWorld({"j1": set()})
    world.submit("j1", SHORT, queue=ADVISED)
    world.run(0.05)
    first = world.advice_calls[0][1]
    others = set(world.workers.workers) - set(first)
    world.allowed["j1"] = {max(others)}
    world.run(1.0)
    assert [worker for _, _, worker in world.running("j1")] == [max(others)]
    named = [worker for call in world.calls_for("j1") for worker in call]
    assert len(named) == len(set(named)) <= POOL_SIZE
    assert not world.violations


def test_a_step_that_no_worker_may_run_does_not_hold_up_others():
    """Guards against an advice service that is busy with one step."""
    rng = Random(11)
    every = sorted(names(range(POOL_SIZE)))
    jobs = [f"j{number}" for number in range(20)]
    world = AdvisedWorld({job: set(rng.sample(every, 4)) for job in jobs})
    world.submit("lasting", LASTING, queue=ADVISED)
    world.run(0.3)
    for job in jobs:
        world.submit(job, SHORT, queue=ADVISED)
    world.run(4.0)
    assert all(world.running(f"{job}.") for job in jobs)
    assert len(world.calls_for("lasting")) == 3
    assert not world.violations


def test_steps_that_lack_tickets_take_turns():
    """Guards against later steps that are never asked about."""
    world = AdvisedWorld({})
    for number in range(6):
        world.submit(f"j{number}", SHORT, queue=ADVISED)
    world.run(6 * STEP_S)
    asked = [step.partition(".")[0] for step, _ in world.advice_calls[:6]]
    assert sorted(asked) == [f"j{number}" for number in range(6)]


def test_a_step_that_has_started_is_not_asked_about():
    """Guards against calls for workers that no task waits for any more."""
    world = AdvisedWorld({"j1": names(range(POOL_SIZE))})
    world.submit("j1", SHORT._replace(count=10), queue=ADVISED)
    world.run(1.0)
    assert len(world.running("j1")) == 10
    assert len(world.advice_calls) == 1


def test_tickets_of_full_workers_are_kept_beside_new_ones():
    """Guards against a newer answer that replaces the tickets of an older."""
    world = AdvisedWorld({"j1": names(range(POOL_SIZE))})
    world.submit("j1", SHORT._replace(count=40), queue=ADVISED)
    world.run(1.0)
    assert len(world.running("j1")) == 40
    named = [worker for call in world.calls_for("j1") for worker in call]
    assert len(named) == len(set(named))
    assert not world.violations


def test_an_expired_ticket_is_requested_again():
    """Guards against a start whose ticket has expired."""
    world = AdvisedWorld({"j1": names(range(2))}, workers=2)
    full = SHORT._replace(count=2, need=Resources(64.0, 1.0, 0))
    world.submit("j1", full, SHORT._replace(depends_on=(0,)), queue=ADVISED)
    world.run(0.5)
    world.submit("j2", full._replace(count=1), queue=ADVISED)
    world.allowed["j2"] = names(range(2))
    world.run(4.0)
    world.finish("j1")
    world.run(0.5)
    assert world.running("j2")
    assert not world.violations


def test_a_ticket_does_not_hold_for_the_next_incarnation():
    """Guards against a ticket of a worker that has restarted meanwhile."""
    world = AdvisedWorld({"j1": names(range(1))}, workers=1)
    world.submit("j1", SHORT, queue=ADVISED)
    world.run(0.5)
    worker = world.workers.workers["pool-a-0"]
    worker.runs.clear()
    worker.ends.clear()
    worker.fence = worker.ends_count = 0
    worker.started_s = world.clock()
    worker.entry = worker.entry._replace(started_ms=2)
    world.run(2.0)
    assert len(world.calls_for("j1")) == 2
    assert world.running("j1")
    assert not world.violations


def test_a_rejected_ticket_is_not_used_again():
    """Guards against repeated starts with a ticket that a worker rejects."""
    world = AdvisedWorld({"j1": names(range(1))}, workers=1)
    sent = []
    start = world.workers.start

    def reject_first(worker, order):
        sent.append(order.ticket)
        if order.ticket == sent[0]:
            return settled(OrderResponse(False, "ticket", 0))
        return start(worker, order)

    world.workers.start = reject_first
    world.submit("j1", SHORT, queue=ADVISED)
    world.run(1.5)
    assert len(sent) == 2
    assert world.running("j1")


def test_a_worker_without_the_label_is_not_asked_about():
    """Guards against calls about workers that can't run a step anyway."""
    world = AdvisedWorld({"j1": names(range(POOL_SIZE))})
    world.submit("j1", SHORT._replace(label="r3"), queue=ADVISED)
    world.run(0.5)
    assert world.running("j1")
    for workers in world.calls_for("j1"):
        assert all(
            "r3" in world.workers.workers[name].entry.labels
            for name in workers
        )


def test_a_failing_service_is_called_again_after_a_delay():
    """Guards against a service that is flooded, or never called again."""
    world = AdvisedWorld({"j1": names(range(POOL_SIZE))})
    world.failing = True
    for number in range(5):
        world.submit(f"j{number}", SHORT, queue=ADVISED)
    world.run(2.0)
    assert 4 <= len(world.advice_calls) <= 10
    world.failing = False
    world.run(2.0)
    assert world.running("j1")


def test_a_call_leaves_time_to_use_its_tickets():
    """Guards against tickets that expire before they arrive."""
    assert workers_per_call(Advice(10.0, 1.0, 3000.0)) == WORKERS_PER_CALL
    assert workers_per_call(Advice(100.0, 100.0, 3000.0)) == 14
    assert workers_per_call(Advice(100.0, 100.0, 150.0)) == 1


def test_what_is_known_of_ended_steps_is_discarded():
    """Guards against memory that grows with every job."""
    world = AdvisedWorld({}, workers=1)
    tickets: Tickets = world.coordinator.tickets
    for number in range(30):
        world.submit(f"j{number}", SHORT, queue=ADVISED)
    world.run(0.1)
    assert len(tickets.by_step) == 30
    for job in list(world.coordinator.state.jobs):
        if job != "j7":
            world.coordinator.cancel_job(job)
    tickets.discard_steps()
    assert list(tickets.by_step) == ["j7.0.0"]
