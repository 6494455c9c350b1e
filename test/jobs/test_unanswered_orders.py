"""Tests of orders without a response: what is repeated, and when."""

from collections import Counter

from cyclamenscale.errors import CallUnansweredError
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.jobs.model import Step
from cyclamenscale.jobs.ports import OrderResponse
from test.jobs.world import World, settled

LONG_RUNNING = Step(
    1, Resources(2.0, 4.0), long_running=True, max_unavailable=1
)
SHORT = Step(1, Resources(2.0, 4.0), estimate_ms=500.0)


class LossyWorkers:
    """Loses the responses to all calls from the first start on.

    The calls are carried out.
    """

    def __init__(self, world):
        """Replace the calls of a world."""
        self.workers = world.workers
        self.losing = True
        self.started = False
        for name in ("start", "stop", "poll"):
            setattr(self.workers, name, self.wrap(name))

    def wrap(self, name):
        """Return a call that may lose its response."""
        carry_out = getattr(self.workers, name)

        def call(*args):
            self.started = self.started or name == "start"
            response = carry_out(*args)
            if self.losing and self.started:
                return settled(error=CallUnansweredError("lost"))
            return response

        return call


def test_a_run_whose_start_had_no_response_is_kept_if_it_is_reported():
    """Guards against stopping healthy runs when responses are late."""
    world = World(workers=1)
    world.lead()
    world.run()
    lossy = LossyWorkers(world)
    world.submit("j1", LONG_RUNNING)
    world.run(0.5)
    ((task, number, worker),) = world.running()
    lossy.losing = False
    world.run(2.0)
    assert world.running() == [(task, number, worker)]
    assert not world.violations


def test_orders_are_not_repeated_to_a_silent_worker():
    """Guards against a retry storm that keeps the leader's link full."""
    world = World(workers=1)
    world.lead()
    world.run()
    for number in range(4):
        world.submit(f"j{number}", SHORT)
    world.run(0.1)
    sent: Counter = Counter()

    def count(name):
        def call(worker, order):
            sent[name, order.task] += 1
            return settled(error=CallUnansweredError("silent"))

        return call

    world.workers.workers["pool-a-0"].mode = "dark"
    world.workers.start, world.workers.stop = count("start"), count("stop")
    for number in range(4):
        world.coordinator.cancel_job(f"j{number}")
    for number in range(4, 8):
        world.submit(f"j{number}", SHORT)
    world.run(2.5)
    assert sent
    assert max(sent.values()) == 1


def test_polls_of_a_silent_worker_are_bounded():
    """Guards against polls that fill the link while workers are silent."""
    world = World(workers=1)
    world.lead()
    world.run()
    polls = []
    world.workers.poll = lambda worker, request, new_connection=False: (
        polls.append(request) or settled(error=CallUnansweredError("silent"))
    )
    world.submit("j1", SHORT)
    world.run(2.0)
    polls.clear()
    world.run(2.0)
    # A regular and an immediate poll every 0.4 s.
    assert len(polls) <= 12


def lose_start_and_worker():
    """Lose a start before it reaches a worker that then falls silent."""
    world = World(workers=1)
    coordinator = world.lead()
    world.run()
    worker = world.workers.workers["pool-a-0"]
    start = world.workers.start
    orders = []

    def lose_first(record, order):
        orders.append(order)
        if len(orders) == 1:
            worker.unreachable_by.add(coordinator.state.term.fence)
        return start(record, order)

    world.workers.start = lose_first
    world.submit("j1", SHORT)
    world.run(2.0)
    assert len(orders) == 1
    return world, worker, orders


def test_a_start_is_not_repeated_on_a_leaving_worker():
    """Guards against a late repeat of a start on a draining worker."""
    world, worker, _ = lose_start_and_worker()
    worker.entry = worker.entry._replace(leaving=True)
    world.coordinator.register_worker(worker.entry)
    world.run(2.5)
    worker.unreachable_by.clear()
    world.run(1.0)
    assert not world.violations


def test_a_start_is_not_repeated_on_a_cordoned_worker():
    """Guards against a late repeat on a worker whose machine is cordoned."""
    world, worker, orders = lose_start_and_worker()
    world.coordinator.state.workers["pool-a-0"].cordon_reason = "move"
    worker.unreachable_by.clear()
    world.run(0.3)
    assert len(orders) == 1


def test_a_task_on_a_worker_of_another_pool_is_not_repeated():
    """Guards against a late repeat after a worker has changed its pool."""
    world, worker, orders = lose_start_and_worker()
    worker.entry = worker.entry._replace(pool="pool-b")
    world.coordinator.register_worker(worker.entry)
    worker.unreachable_by.clear()
    world.run(0.3)
    assert len(orders) == 1


def test_stops_refused_by_an_unhealthy_worker_are_bounded():
    """Guards against a stop on each tick while a worker responds 503."""
    world = World(workers=1)
    world.lead()
    world.run()
    world.submit("j1", SHORT)
    world.run()
    sent = Counter()

    def stop(worker, order):
        sent[order.task] += 1
        return settled(OrderResponse(False, "unhealthy"))

    world.workers.stop = stop
    world.coordinator.cancel_job("j1")
    world.run(2.0)
    assert sent["j1.0.0.0"] <= 12


def test_polls_refused_by_an_unhealthy_worker_are_bounded():
    """Guards against polls on each tick while a worker responds 503.

    A start has had no response, so immediate polls are due as well.
    """
    world = World(workers=1)
    world.lead()
    world.run()
    polls = []

    def refuse(worker, request, new_connection=False):
        polls.append(request)
        return settled(OrderResponse(False, "unhealthy"))

    def lose(worker, order):
        world.workers.poll = refuse
        return settled(error=CallUnansweredError("silent"))

    world.workers.start = lose
    world.submit("j1", SHORT)
    world.run(2.0)
    polls.clear()
    world.run(1.0)
    # As for a silent worker: a regular and an immediate one every 0.4 s.
    assert len(polls) <= 6


def test_a_repeated_start_carries_its_ticket():
    """Guards against a repeat that is refused for want of a ticket."""
    world = World(workers=1)
    world.lead()
    world.run()
    tickets = []
    start = world.workers.start

    def lose_first(worker, order):
        tickets.append(order.ticket)
        if len(tickets) == 1:
            return settled(error=CallUnansweredError("lost"))
        return start(worker, order)

    world.workers.start = lose_first
    world.coordinator.tickets.find = lambda step, worker: "t-1"
    world.submit("j1", SHORT)
    world.run(1.0)
    assert tickets == ["t-1", "t-1"]
